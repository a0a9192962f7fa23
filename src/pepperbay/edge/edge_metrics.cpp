#include "edge_metrics.hpp"

#include <limits>
#include <map>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <vector>

namespace pepperbay {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

MetricFamily
Family(const char* aName, const char* aHelp, MetricType aType)
{
  MetricFamily family;
  family.name = std::string("pepperbay_edge_") + aName;
  family.help = aHelp;
  family.type = aType;
  return family;
}

MetricFamily
Counter(const char* aName, const char* aHelp, std::uint64_t aValue)
{
  MetricFamily family = Family(aName, aHelp, MetricType::Counter);
  ClientMetric metric;
  metric.counter.value = static_cast<double>(aValue);
  family.metric.push_back(std::move(metric));
  return family;
}

MetricFamily
Gauge(const char* aName, const char* aHelp, double aValue)
{
  MetricFamily family = Family(aName, aHelp, MetricType::Gauge);
  ClientMetric metric;
  metric.gauge.value = aValue;
  family.metric.push_back(std::move(metric));
  return family;
}

MetricFamily
Counters(const char* aName,
         const char* aHelp,
         const char* aLabel,
         const std::map<std::string, std::uint64_t>& aValues)
{
  MetricFamily family = Family(aName, aHelp, MetricType::Counter);
  for (const auto& [label, value] : aValues) {
    ClientMetric metric;
    metric.counter.value = static_cast<double>(value);
    metric.label.push_back({ aLabel, label });
    family.metric.push_back(std::move(metric));
  }
  return family;
}

MetricFamily
Histogram(const char* aName, const char* aHelp, const LatencyHistogram& aHistogram)
{
  MetricFamily family = Family(aName, aHelp, MetricType::Histogram);
  ClientMetric metric;
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < aHistogram.mCounts.size(); ++i) {
    sum += aHistogram.mCounts[i];
    const bool last = i == LatencyHistogram::kBounds.size();
    const double bound = last
                           ? std::numeric_limits<double>::infinity()
                           : std::chrono::duration<double>(LatencyHistogram::kBounds.at(i)).count();
    metric.histogram.bucket.push_back({ sum, bound });
  }
  metric.histogram.sample_count = sum;
  metric.histogram.sample_sum = std::chrono::duration<double>(aHistogram.mSum).count();
  family.metric.push_back(std::move(metric));
  return family;
}

} // namespace

std::string
RenderEdgeMetrics(const EdgeFigures& aFigures)
{
  const RelayCounters& relay = aFigures.mRelay;
  const CoordinatorCounters& control = aFigures.mCoordinator;
  const std::vector<MetricFamily> families = {
    Counter("requests_total", "Requests read", relay.mRequests),
    Counter("answered_total", "Answered with an engine's whole answer", relay.mAnswered),
    Counter("invalid_total", "Answered 4xx", relay.mInvalid),
    Counter("refused_total", "Answered as not run", relay.mRefused),
    Counter("failed_total", "Answered 5xx otherwise", relay.mFailed),
    Counter("cut_total", "Broken off after the answer had begun", relay.mCut),
    Counter("caller_gone_total", "The caller left first", relay.mCallerGone),
    Counter("attempts_total", "Requests sent to engines", relay.mAttempts),
    Counter("second_attempts_total", "Of these, not the first", relay.mSecondAttempts),
    Counter("sent_to_leaving_total",
            "Of these, to engines that this node knew to leave",
            relay.mSentToLeaving),
    Counter("overtaken_total", "Requests that a second engine answered first", relay.mOvertaken),
    Gauge("silent_engines",
          "Of plain services, with requests of this node and without a byte since",
          static_cast<double>(relay.mSilentEngines)),
    Counter("resumes_total", "Of these, streams that went on elsewhere", relay.mResumes),
    Counters("moves_refused_total",
             "Streams that were to go on elsewhere and found no place",
             "reason",
             relay.mMovesRefused),
    Counter("foreign_answers_total", "Answers of another request", relay.mForeignAnswers),
    Counter("stale_connections_total",
            "Kept connections that engines closed under a request",
            relay.mStaleConnections),
    Counters("reasons_total", "Refusals, failures and cuts", "reason", relay.mReasons),
    Counters("connects_failed_total", "Connections to engines", "reason", relay.mConnectsFailed),
    Gauge("engine_heard_age_seconds",
          "Since the last byte of any engine",
          std::chrono::duration<double>(aFigures.mEngineHeardAge).count()),
    Counter("carried_by_peers_total", "Connections to engines", relay.mTunnelledByPeers),
    Gauge("carried",
          "Connections to engines for other nodes",
          static_cast<double>(relay.mTunnels.mOpen)),
    Counters("carry_answers_total",
             "To nodes that asked for a connection to an engine",
             "answer",
             relay.mTunnels.mAnswers),
    Counter("carry_forbidden_total", "Askers that were not let in", relay.mTunnels.mForbidden),
    Counter("carried_to_engines_bytes_total", "For other nodes", relay.mTunnels.mToEngines),
    Counter("carried_from_engines_bytes_total", "For other nodes", relay.mTunnels.mFromEngines),
    Gauge("holds_lease", "This node gives the orders", aFigures.mHoldsLease ? 1 : 0),
    Counters("lost_engines_total", "Engines found not to answer", "by", control.mLostEngines),
    Counters(
      "ended_engines_total", "Lost engines that had ended", "evidence", control.mExitedEngines),
    Counter("paused_engines_total", "Lost engines that went on", control.mPauses),
    Counter("undecided_engines_total", "Too few nodes had a word on them", control.mUndecided),
    Counter("asks_total", "Questions to engines", control.mAsks),
    Counters("orders_total", "Orders to engines", "order", control.mOrders),
    Counter("engines_ended_total", "While they had requests of this node", relay.mEnginesExited),
    Gauge("suspect_requests",
          "Under which engines have ended",
          static_cast<double>(control.mSuspectRequests)),
    Counter(
      "store_restored_total", "Logs that came back from an older copy", control.mStoreRestored),
    Counter("store_outages_total", "Long enough for registrations to lapse", control.mOutages),
    Counter("store_connections_replaced_total",
            "Late calls answered over a new connection",
            control.mReplacedConnections),
    Counter("bad_suspect_records_total", "Not understood", control.mBadSuspects),
    Gauge(
      "held_requests", "Of these, held back", static_cast<double>(control.mQuarantinedRequests)),
    Gauge("limited_engines",
          "Engines that name a limit, as this node has been told",
          static_cast<double>(relay.mLimitedEngines)),
    Counters("sent_to_limited_total",
             "Requests sent to engines with a limit",
             "how",
             relay.mSentToLimited),
    Counter("bad_limits_total", "Limits of engines, not understood", relay.mBadLimits),
    Counter("callers_closed_unread_total", "Connections not taken up", relay.mClosedUnread),
    Gauge("open_requests", "In progress", static_cast<double>(relay.mOpen)),
    Gauge("kept_answer_bytes", "Kept until whole", static_cast<double>(relay.mBufferedBytes)),
    Counter("place_questions_total", "Questions to other nodes' desks", aFigures.mPlaces.mAsked),
    Counter("place_questions_resent_total", "Of these, sent again", aFigures.mPlaces.mResent),
    Counter(
      "place_questions_given_up_total", "Desks without an answer", aFigures.mPlaces.mTimedOut),
    Counter("places_chosen_alone_total", "Without a desk", aFigures.mPlaces.mWithoutAllocator),
    Counter("places_granted_total", "To other nodes", aFigures.mPlaces.mGranted),
    Counter("places_of_leaving_total",
            "Granted to this node at engines that it knew to leave, and not used",
            aFigures.mPlaces.mGrantsOfLeaving),
    Counter("places_passed_on_total", "To another data centre's desk", aFigures.mPlaces.mForwarded),
    Counter("limited_total",
            "Requests that all engines with room take no more of for now",
            aFigures.mPlaces.mLimited),
    Counter("counted_against_limits_total",
            "Requests of all nodes that this one has counted",
            aFigures.mPlaces.mCounted),
    Counter("sent_by_own_part_total",
            "Requests sent by this node's own part of a limit",
            aFigures.mPlaces.mLocalShare),
    Counters("retries_granted_total",
             "Second attempts that desks have not granted, by what they came from",
             "by",
             { { "earned", aFigures.mRetries.mEarned },
               { "keeper", aFigures.mRetries.mByBudgetOwner },
               { "own_part", aFigures.mRetries.mLocalShare } }),
    Counter("retries_refused_total", "The budget had none", aFigures.mRetries.mRefused),
    Counter("retry_questions_total", "To the node that keeps the budget", aFigures.mRetries.mAsked),
    Counter("retry_questions_given_up_total", "Without an answer", aFigures.mRetries.mTimedOut),
    Counter("retries_given_total", "To other nodes", aFigures.mRetries.mGrantedToOthers),
    Counter("bad_place_messages_total", "Not understood", aFigures.mPlaces.mBadMessages),
    Counters("replicas_given_up_total",
             "Replicas given up for a model that is asked for more",
             "model",
             control.mReplicasGivenUp),
    Counters("store_calls_total", "By log and reason", "call", control.mStoreCalls),
    Counter("bad_configurations_total", "Not understood", control.mBadConfigurations),
    Counter("bad_registrations_total", "Name no engine", control.mBadRegistrations),
    Counter("engine_restarts_total", "Engines that started again", control.mRestarts),
    Counter(
      "former_starts_total", "Words of replaced starts, not taken", control.mStaleIncarnations),
    Counter("feeds_total", "Records of the store passed on by a delegate", control.mFeeds),
    Counter("record_requests_total",
            "Requests to peers for records of the store that were missed",
            control.mRecordRequests),
    Counter(
      "looks_total", "Reads of the store as what others told was too old", control.mDirectReads),
    Counter("bad_messages_total", "Of peers, not understood", control.mBadMessages),
    Gauge("configuration_version",
          "That requests go by",
          static_cast<double>(relay.mConfigurationVersion)),
    Gauge("configuration_age_seconds",
          "Since requests went by the newest configuration for certain",
          std::chrono::duration<double>(aFigures.mConfigurationAge).count()),
    Histogram("configuration_in_force_seconds",
              "From a configuration's arrival until requests go by it",
              relay.mInForce),
    Histogram(
      "first_event_seconds", "From a request to its stream's first event", relay.mFirstEvent),
    Histogram("whole_answer_seconds", "From a request to a whole answer", relay.mWholeAnswer),
    Histogram("engines_view_age_seconds",
              "Age of the registrations by which an engine was chosen",
              relay.mViewAge),
    Histogram("engines_in_force_seconds",
              "From a registration's arrival until requests go by it",
              relay.mEnginesInForce),
    Histogram("control_lag_seconds",
              "By which rounds of the control thread begin late",
              aFigures.mControlLag),
    Histogram("resume_pause_seconds",
              "From a stream's last event of one engine to the first of another",
              relay.mResumePause),
    Counter("log_lines_left_out_total", "Not written", aFigures.mLinesLeftOut),
  };
  return prometheus::TextSerializer().Serialize(families);
}

} // namespace pepperbay
