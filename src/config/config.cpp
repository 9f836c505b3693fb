#include "config/config.h"

#include <algorithm>
#include <array>

#include "schemas.h"

namespace ospreypost::config {
namespace {

template <typename Id>
Id find_id(const Element& element, const std::vector<std::string>& names, const std::string& name,
           const char* what) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) element.fail(std::string("there is no ") + what + " '" + name + "'");
  return Id{static_cast<std::underlying_type_t<Id>>(found - names.begin())};
}

template <typename Value>
Value parse_choice(const Element& element, const char* attribute,
                   std::initializer_list<std::pair<const char*, Value>> choices) {
  const auto text = element.text(attribute);
  for (const auto& [name, value] : choices) {
    if (text == name) return value;
  }
  element.fail(std::string(attribute) + " '" + text + "' is unknown");
}

net::Address parse_address(const Element& element, const char* attribute) {
  try {
    return net::Address::parse(element.text(attribute));
  } catch (const net::Error& error) {
    element.fail(std::string(attribute) + ": " + error.what());
  }
}

constexpr std::array<std::pair<LoadMetric, const char*>, 6> kLoadMetricNames{
    {{LoadMetric::util, "util"},
     {LoadMetric::inflight, "inflight"},
     {LoadMetric::queue, "queue"},
     {LoadMetric::latency, "latency"},
     {LoadMetric::rate, "rate"},
     {LoadMetric::errors, "errors"}}};

LoadMetric parse_load_metric(const std::string& name) {
  for (const auto& [known, text] : kLoadMetricNames) {
    if (name == text) return known;
  }
  return LoadMetric::other;
}

std::vector<std::string> names_in(const std::optional<Element>& list) {
  std::vector<std::string> names;
  if (!list) return names;
  for (const auto& element : list->children()) names.push_back(element.text("name"));
  return names;
}

ClassSettings read_class(const Element& element, const Config& config) {
  ClassSettings cls;
  cls.effect = parse_choice<Idempotency>(element, "effect",
                                         {{"idempotent", Idempotency::idempotent},
                                          {"deduplicated", Idempotency::deduplicated},
                                          {"at-most-once", Idempotency::at_most_once}});
  cls.latency_objective = element.time("target-time");
  cls.request_deadline = element.time("abandon-time");
  if (cls.latency_objective <= Nanos{}) element.fail("target-time must be above 0");
  if (cls.request_deadline < cls.latency_objective)
    element.fail("abandon-time must not be below target-time");
  cls.priority_weight = element.number("payoff");
  cls.late_priority_weight = element.number("late-payoff");
  cls.same_zone_only = element.yes("home-only");
  for (const auto& zone : element.words("only-zones"))
    cls.allowed_zones.push_back(find_id<ZoneId>(element, config.zones, zone, "zone"));
  for (const auto& kind : element.words("only-kinds"))
    cls.allowed_kinds.push_back(find_id<HardwareKindId>(element, config.kinds, kind, "kind"));
  return cls;
}

void read_limits(const Element& limits, Settings& settings) {
  const auto drain = limits.child("drain");
  settings.drain_grace = drain.time("grace");
  settings.only_draining_is_binding = drain.yes("only-draining-binds");
  settings.max_time_without_endpoints = limits.child("bare").time("longest");
  const auto channel = limits.child("channel");
  settings.channel_entries_per_second = channel.number("lines-per-second");
  settings.channel_max_queued_entries = channel.number("most-waiting");
  settings.message_overhead_entries = channel.number("message-head");
  settings.message_delay = channel.time("transit");
  if (settings.channel_entries_per_second <= 0) channel.fail("lines-per-second must be above 0");
  if (settings.channel_max_queued_entries <= 0) channel.fail("most-waiting must be above 0");
  const auto messages = limits.child("messages");
  settings.max_messages_per_window = static_cast<std::size_t>(messages.number("allowed"));
  settings.message_window = messages.time("window");
  const auto cold = limits.child("cold");
  settings.initial_warm_up_capacity = cold.number("share");
  settings.warm_up_duration = cold.time("time");
  settings.overload_multiple = cold.number("fall-multiple");
  settings.overload_duration = cold.time("fall-time");
  if (settings.overload_multiple <= 1) cold.fail("fall-multiple must be above 1");
}

void read_proxies(const Element& element, Config& config) {
  for (const auto& proxy : element.children()) {
    auto& entry = config.proxies.known.emplace_back();
    entry.name = proxy.text("name");
    entry.zone = find_id<ZoneId>(proxy, config.zones, proxy.text("zone"), "zone");
    entry.usual_rate = proxy.number("usual-rate");
    if (proxy.find("entry")) entry.entry = parse_address(proxy, "entry");
    entry.vouched = proxy.yes("vouched");
    entry.folder = proxy.find("folder").value_or("");
    if (proxy.find("receiver")) entry.receiver = parse_address(proxy, "receiver");
    if (!entry.folder.empty() && entry.receiver)
      proxy.fail("has both a folder and a receiver; expected at most one");
  }
  config.proxies.silence = element.time("silence");
  auto& settings = config.settings;
  settings.proxies = config.proxies.known.size();
  settings.min_replica_connections = element.number("connections-least");
  settings.picking = parse_choice<PickingPolicy>(
      element, "picking",
      {{"weighted", PickingPolicy::weighted}, {"round", PickingPolicy::round}, {"two", PickingPolicy::two}});
  settings.admission = parse_choice<AdmissionMode>(
      element, "admission",
      {{"share", AdmissionMode::share}, {"rate", AdmissionMode::rate}, {"ignored", AdmissionMode::ignored}});
}

void read_reports(const Element& element, Config& config) {
  auto& reports = config.reports;
  reports.listen = parse_address(element, "listen");
  reports.probe_path = element.text("probe-path");
  reports.probe_timeout = element.time("probe-timeout");
  reports.most_bytes = static_cast<std::size_t>(element.number("most-bytes"));
  reports.oldest = element.time("oldest");
  auto& settings = config.settings;
  settings.report_interval = element.time("every");
  if (settings.report_interval <= Nanos{}) element.fail("every must be above 0");
  settings.reporting = parse_choice<ReportingMode>(element, "load",
                                                   {{"none", ReportingMode::none},
                                                    {"in-sums", ReportingMode::in_load_reports},
                                                    {"by-probe", ReportingMode::by_health_check}});
  settings.health_checks_allowed = settings.reporting == ReportingMode::by_health_check;
  for (const auto& name : element.words("columns")) settings.load_columns.push_back(parse_load_metric(name));
}

void read_dns(const Element& element, Config& config) {
  auto& dns = config.dns;
  dns.listen = parse_address(element, "listen");
  dns.apex = element.text("apex");
  dns.server_name = element.text("server-name");
  dns.max_ttl = std::chrono::floor<std::chrono::seconds>(element.time("longest-lifetime"));
  dns.flight = element.time("flight");
  dns.threads = static_cast<std::size_t>(element.number("threads"));
  dns.max_udp_bytes = static_cast<std::size_t>(element.number("most-udp-bytes"));
  dns.max_connections = static_cast<std::size_t>(element.number("most-connections"));
  dns.answers_per_second = element.number("answers-per-second");
  using std::chrono::seconds;
  if (dns.max_ttl < seconds(1)) element.fail("longest-lifetime must be at least 1 s");
  if (dns.threads < 1 || dns.threads > 64) element.fail("threads must be 1 to 64");
  if (dns.max_udp_bytes < 512 || dns.max_udp_bytes > 4096) element.fail("most-udp-bytes must be 512 to 4096");
  if (dns.max_connections < 1 || dns.max_connections > 1024)
    element.fail("most-connections must be 1 to 1024");
  if (dns.answers_per_second <= 0) element.fail("answers-per-second must be above 0");
  // Without a TTL of at least 1 s within the grace, no DNS response could list replicas.
  if (!dns::grace_permits_min_ttl(client_limits(config)))
    element.fail(
        "the drain grace is too short for a TTL of 1 s, the flight and the interval between reads of the "
        "roll");
}

void read_files(const Element& element, FilesFront& files) {
  files.envoy = element.text("format") == "envoy";
  files.threads = static_cast<std::size_t>(element.number("threads"));
  files.patience = element.time("patience");
  files.renew = element.time("renew");
  files.lease = element.time("lease");
  files.keep = static_cast<std::size_t>(element.number("keep"));
  files.reader_confirms = element.yes("reader-confirms");
  if (files.threads < 1 || files.threads > 64) element.fail("threads must be 1 to 64");
  if (files.patience <= Nanos{} || files.renew <= Nanos{}) element.fail("patience and renew must be above 0");
  if (files.keep < 2) element.fail("keep must be at least 2");
}

}  // namespace

const char* name_of(LoadMetric metric) {
  for (const auto& [known, text] : kLoadMetricNames) {
    if (metric == known) return text;
  }
  return "other";
}

namespace {

void read_record(const std::optional<Element>& element, Config& config) {
  auto& record = config.record;
  record.folder = config.name + ".record";
  if (!element) return;
  record.keep = element->yes("keep");
  if (const auto folder = element->text("folder"); !folder.empty()) record.folder = folder;
  record.most_bytes = static_cast<std::uint64_t>(element->number("most-mib")) << 20;
  record.file_bytes = static_cast<std::uint64_t>(element->number("file-mib")) << 20;
  record.file_age = element->time("file-age");
  if (record.file_bytes == 0 || record.most_bytes < 2 * record.file_bytes)
    element->fail("file-mib must be above 0, and at most half of most-mib");
}

}  // namespace

Config parse_config(std::string_view text, const std::string& label) {
  const Document document(text, label, kGovernorSchema);
  const auto root = document.root();
  Config config;
  config.name = root.text("name");
  const auto seed = root.text("seed");
  config.seed = std::stoull(seed);
  config.zones = names_in(root.child("zones"));
  config.kinds = names_in(root.find_child("kinds"));
  const auto classes = root.child("classes");
  config.classes = names_in(classes);
  auto& settings = config.settings;
  settings.zones = config.zones.size();
  settings.own_zone = find_id<ZoneId>(root, config.zones, root.text("zone"), "zone");
  for (const auto& element : classes.children()) settings.classes.push_back(read_class(element, config));
  read_limits(root.child("limits"), settings);
  read_proxies(root.child("proxies"), config);
  read_reports(root.child("reports"), config);
  const auto roll = root.child("roll");
  config.roll = {roll.text("path"), roll.time("every")};
  if (config.roll.every <= Nanos{}) roll.fail("every must be above 0");
  read_dns(root.child("dns"), config);
  if (const auto files = root.find_child("files")) read_files(*files, config.files);
  read_record(root.find_child("record"), config);
  config.text = text;
  if (const auto logging = root.find_child("logging"))
    config.logging = {logging->text("format") == "json", logging->text("level"), logging->text("path")};
  return config;
}

Config read_config(const std::string& path) { return parse_config(read_file(path), path); }

// The policy module need not limit its messages: proxies that pull receive all pending changes when they
// query, and pull and push delivery apply the message limit themselves. The limit thus never delays a drain.
Settings module_settings(const Config& config) {
  auto settings = config.settings;
  settings.max_messages_per_window = 0;
  return settings;
}

dns::ClientTtlLimits client_limits(const Config& config) {
  return {config.settings.drain_grace, config.roll.every, config.dns.flight, config.proxies.silence,
          std::chrono::duration_cast<dns::Ttl>(config.dns.max_ttl)};
}

std::optional<ProxyId> find_proxy(const Config& config, std::string_view name) {
  for (std::size_t p = 0; p < config.proxies.known.size(); ++p) {
    if (config.proxies.known[p].name == name) return ProxyId{static_cast<std::uint16_t>(p)};
  }
  return std::nullopt;
}

}  // namespace ospreypost::config
