#include <csignal>
#include <iostream>

#include "cli/commands.h"
#include "files/receiver.h"

namespace ospreypost::cli {

int receive(const ReceiveOptions& options) {
  sigset_t stop_signals;
  sigemptyset(&stop_signals);
  sigaddset(&stop_signals, SIGTERM);
  sigaddset(&stop_signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
  // Ignores SIGXFSZ, so that a write beyond the file size limit fails with an error, which the receiver
  // reports.
  std::signal(SIGXFSZ, SIG_IGN);
  files::ReceiverOptions receiver_options;
  receiver_options.listen = net::Address::parse(options.listen);
  receiver_options.folder = options.folder;
  receiver_options.keep = options.keep;
  receiver_options.reader_confirms = !options.no_reader;
  files::Receiver receiver(receiver_options);
  std::cout << "ready receiver " << receiver.address().text() << std::endl;
  int signal = 0;
  sigwait(&stop_signals, &signal);
  receiver.stop();
  return 0;
}

namespace {

net::Deadline request_deadline() { return net::Steady::now() + std::chrono::seconds(5); }

}  // namespace

int show_generations(const std::string& at, const std::string& proxy) {
  http::Request request;
  request.target = proxy.empty() ? "/state" : "/generations/" + proxy;
  const auto answer =
      http::fetch(net::Address::parse(at), request, http::kMaxStatusBytes, request_deadline());
  if (answer.status != 200) throw net::Error(answer.body.substr(0, answer.body.find('\n')));
  const auto state = files::read_state(answer.body);
  for (const auto& stamp : state.kept) {
    std::cout << "epoch " << stamp.epoch << "  version " << stamp.version
              << (stamp == state.stored ? "  current" : "") << (stamp == state.applied ? "  applied" : "")
              << (stamp == state.newest.stamp ? "  newest, of " + state.newest.owner : "") << '\n';
  }
  if (state.stale) std::cout << "stale: no governor has renewed the lease in time\n";
  return 0;
}

int rollback(const std::string& target, std::uint64_t version, const std::string& governor) {
  http::Request request;
  request.method = "POST";
  const auto query = "?version=" + std::to_string(version);
  request.target = governor.empty() ? "/rollback" + query : "/rollback/" + target + query;
  const auto answer = http::fetch(net::Address::parse(governor.empty() ? target : governor), request,
                                  http::kMaxStatusBytes, request_deadline());
  if (answer.status == 200) return 0;
  std::cerr << answer.body;
  return 1;
}

}  // namespace ospreypost::cli
