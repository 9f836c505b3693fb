#include <csignal>
#include <iostream>

#include "cli/commands.h"
#include "files/receiver.h"

namespace ospreypost::cli {

int receive(const ReceiveOptions& options) {
  sigset_t stopping;
  sigemptyset(&stopping);
  sigaddset(&stopping, SIGTERM);
  sigaddset(&stopping, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stopping, nullptr);
  // A file system at its limit is an error like any other, and answered as one.
  std::signal(SIGXFSZ, SIG_IGN);
  files::ReceiverOptions serving;
  serving.listen = net::Address::parse(options.listen);
  serving.folder = options.folder;
  serving.keep = options.keep;
  serving.reader_confirms = !options.no_reader;
  files::Receiver receiver(serving);
  std::cout << "ready receiver " << receiver.address().text() << std::endl;
  int signal = 0;
  sigwait(&stopping, &signal);
  receiver.stop();
  return 0;
}

namespace {

net::Deadline soon() { return net::Steady::now() + std::chrono::seconds(5); }

}  // namespace

int show_generations(const std::string& at, const std::string& proxy) {
  http::Request request;
  request.target = proxy.empty() ? "/state" : "/generations/" + proxy;
  const auto answer = http::fetch(net::Address::parse(at), request, soon());
  if (answer.status != 200) throw net::Error(answer.body.substr(0, answer.body.find('\n')));
  const auto state = files::read_state(answer.body);
  for (const auto& stamp : state.kept) {
    std::cout << "epoch " << stamp.epoch << "  version " << stamp.version
              << (stamp == state.stored ? "  current" : "") << (stamp == state.applied ? "  applied" : "")
              << (stamp == state.newest.stamp ? "  newest, of " + state.newest.owner : "") << '\n';
  }
  if (state.stale) std::cout << "stale: no governor has spoken within the lease\n";
  return 0;
}

int rollback(const std::string& whom, std::uint64_t version, const std::string& governor) {
  http::Request request;
  request.method = "POST";
  const auto asks = "?version=" + std::to_string(version);
  request.target = governor.empty() ? "/rollback" + asks : "/rollback/" + whom + asks;
  const auto answer = http::fetch(net::Address::parse(governor.empty() ? whom : governor), request, soon());
  if (answer.status == 200) return 0;
  std::cerr << answer.body;
  return 1;
}

}  // namespace ospreypost::cli
