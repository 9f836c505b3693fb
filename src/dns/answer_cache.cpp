#include "dns/answer_cache.h"

namespace ospreypost::dns {

std::string AnswerCache::key_of(std::span<const std::uint8_t> question, bool over_tcp) {
  constexpr std::size_t kIdBytes = 2;
  std::string key(1, over_tcp ? 't' : 'u');
  key.append(reinterpret_cast<const char*>(question.data()) + kIdBytes, question.size() - kIdBytes);
  return key;
}

std::shared_ptr<const AnswerCache::CachedAnswer> AnswerCache::find(std::span<const std::uint8_t> question,
                                                                   bool over_tcp) {
  const auto key = key_of(question, over_tcp);
  const std::lock_guard lock(mutex_);
  const auto known = entries_.find(key);
  return known == entries_.end() ? nullptr : known->second;
}

void AnswerCache::insert(std::span<const std::uint8_t> question, bool over_tcp, CachedAnswer cached_answer) {
  if (question.size() > limits_.max_question_bytes) return;
  const auto bytes = question.size() + cached_answer.answer.size();
  if (bytes > limits_.max_bytes) return;
  auto key = key_of(question, over_tcp);
  auto shared = std::make_shared<const CachedAnswer>(std::move(cached_answer));
  const std::lock_guard lock(mutex_);
  if (entries_.size() >= limits_.max_entries || stored_bytes_ + bytes > limits_.max_bytes) {
    entries_.clear();
    stored_bytes_ = 0;
  }
  // A replaced entry stays counted until the cache is emptied.
  stored_bytes_ += bytes;
  entries_[std::move(key)] = std::move(shared);
}

}  // namespace ospreypost::dns
