#include "pepperbay/node/metrics.hpp"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace pepperbay {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

/// Collects the families of one page.
class Page
{
public:
  void Counter(const std::string& aName, const std::string& aHelp, double aValue)
  {
    Family(aName, aHelp, MetricType::Counter).metric.push_back(CounterMetric(aValue));
  }

  void Counters(const std::string& aName,
                const std::string& aHelp,
                const std::string& aLabel,
                const std::map<std::string, std::uint64_t>& aValues)
  {
    MetricFamily& family = Family(aName, aHelp, MetricType::Counter);
    for (const auto& [label, value] : aValues) {
      ClientMetric metric = CounterMetric(static_cast<double>(value));
      metric.label.push_back({ aLabel, label });
      family.metric.push_back(std::move(metric));
    }
  }

  void Gauge(const std::string& aName, const std::string& aHelp, double aValue)
  {
    ClientMetric metric;
    metric.gauge.value = aValue;
    Family(aName, aHelp, MetricType::Gauge).metric.push_back(std::move(metric));
  }

  std::string Text() const { return prometheus::TextSerializer().Serialize(mFamilies); }

private:
  static ClientMetric CounterMetric(double aValue)
  {
    ClientMetric metric;
    metric.counter.value = aValue;
    return metric;
  }

  MetricFamily& Family(const std::string& aName, const std::string& aHelp, MetricType aType)
  {
    MetricFamily family;
    family.name = "pepperbay_" + aName;
    family.help = aHelp;
    family.type = aType;
    mFamilies.push_back(std::move(family));
    return mFamilies.back();
  }

  std::vector<MetricFamily> mFamilies;
};

double
Value(const std::atomic<std::uint64_t>& aCounter)
{
  return static_cast<double>(aCounter.load());
}

void
AddGateway(Page& aPage, const GatewayCounters& aGateway)
{
  aPage.Counter("requests_total", "Requests of callers", Value(aGateway.mRequests));
  aPage.Counter("completed_total", "Requests answered whole", Value(aGateway.mCompleted));
  aPage.Counter("invalid_total", "Requests answered 4xx for bad input", Value(aGateway.mInvalid));
  aPage.Counter("refused_total", "Requests refused as not run", Value(aGateway.mRefused));
  aPage.Counter("failed_total", "Accepted requests not answered whole", Value(aGateway.mFailed));
  aPage.Counter("unknown_total", "Failed requests that may have run", Value(aGateway.mUnknown));
  aPage.Counter(
    "replayed_total", "Requests answered from the claim of their key", Value(aGateway.mReplayed));
  aPage.Counter("caller_gone_total", "Callers that hung up", Value(aGateway.mCallerGone));
  aPage.Counter("attempts_total", "Calls to back ends", Value(aGateway.mAttempts));
  aPage.Counter("retries_total", "Attempts begun anew", Value(aGateway.mRetries));
  aPage.Counter("resumes_total", "Streams resumed elsewhere", Value(aGateway.mResumes));
  aPage.Counter("foreign_parts_total", "Answer parts of others", Value(aGateway.mForeignParts));
  aPage.Counter("doubled_parts_total", "Answer parts come twice", Value(aGateway.mDoubledParts));
  aPage.Counter("tokens_total", "Tokens passed on", Value(aGateway.mTokens));
  aPage.Counter("spilled_total", "Requests for other data centres", Value(aGateway.mSpilled));
  aPage.Gauge("open_requests", "Accepted and not yet answered", Value(aGateway.mOpen));
}

} // namespace

std::string
RenderMetrics(const ControllerCounters& aControl,
              const PeerLinkCounters& aLink,
              const GatewayCounters& aGateway,
              bool aHoldsLease,
              std::uint64_t aApplied,
              const HttpClientCounters& aControlHttp,
              double aControlCpuSeconds)
{
  Page page;
  AddGateway(page, aGateway);
  page.Counters("records_folded_total", "Log records by verdict", "verdict", aControl.mFolded);
  page.Counters("messages_dropped_total",
                "Messages of nodes dropped, by reason",
                "reason",
                aControl.mDroppedMessages);
  page.Counter("appends_total", "Appends to the log", static_cast<double>(aControl.mAppends));
  page.Counter("log_reads_total", "Reads of the log", static_cast<double>(aControl.mReads));
  page.Counter("replicas_lost_total",
               "Times that a whole replica stopped being whole",
               static_cast<double>(aControl.mReplicasLost));
  page.Counter(
    "heartbeats_total", "Rounds of heartbeats", static_cast<double>(aControl.mHeartbeats));
  page.Counter("peer_messages_sent_total", "Messages to nodes", static_cast<double>(aLink.mSent));
  page.Counter("peer_bytes_sent_total", "Bytes to nodes", static_cast<double>(aLink.mSentBytes));
  page.Counter("peer_datagrams_sent_total",
               "Messages to nodes that went as datagrams",
               static_cast<double>(aLink.mSentDatagrams));
  page.Gauge("peer_connections",
             "Connections to nodes that are open",
             static_cast<double>(aLink.mConnections));
  page.Counter(
    "peer_messages_received_total", "Messages of nodes", static_cast<double>(aLink.mReceived));
  page.Counter(
    "peer_bytes_received_total", "Bytes of nodes", static_cast<double>(aLink.mReceivedBytes));
  page.Counter("peer_messages_unsent_total",
               "Messages to nodes dropped: a full queue, a wrong address",
               static_cast<double>(aLink.mDropped));
  page.Counter("control_calls_total",
               "Calls to the platform and hosts",
               static_cast<double>(aControlHttp.mCalls));
  page.Counter("control_call_bytes_sent_total",
               "Bytes sent in them",
               static_cast<double>(aControlHttp.mSentBytes));
  page.Counter("control_call_bytes_received_total",
               "Bytes received in them",
               static_cast<double>(aControlHttp.mReceivedBytes));
  page.Counter("control_cpu_seconds_total", "Processor time of control", aControlCpuSeconds);
  page.Gauge("applied_offset", "Next offset of the control stream", static_cast<double>(aApplied));
  page.Gauge("holds_lease", "1 while this node holds the control lease", aHoldsLease ? 1 : 0);
  return page.Text();
}

} // namespace pepperbay
