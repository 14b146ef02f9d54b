/// \file
/// Backs off from targets that do not respond to probes.
#pragma once

#include "core/instant.h"
#include "gateway/target_prober.h"
#include "gateway/timer_queue.h"
#include "routing/absence_evidence.h"
#include "routing/target_tracker.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

class decision_log;
class gateway_metrics;

/// A probe without a response, with the fields of its log line.
struct silent_probe_report {
    target_entry target; ///< as it was registered when the probe was sent
    std::string attempt; ///< of the caller, empty if the probe belongs to none
    std::string problem; ///< the failure in words
    instant sentAt;
    instant due; ///< end of the time limit
    bool recordsFault = true; ///< whether the detector backs off from an absent target; else the probe's owner does
};

/// Drives absence_evidence for one node: targets that are found absent get a fault in the target tracker, those whose
/// silence speaks against this node do not.
class absence_detector {
public:
    /// Sends a probe, see target_prober::probe().
    using probe_sender = std::function<void(
        const target_entry& target, std::chrono::milliseconds timeout, target_prober::callback done)>;

    /// All references outlive this object.
    /// \param probe sends the probes that confirm a silence; called only while silences are recorded
    absence_detector(target_tracker& targetTracker, probe_sender probe, timer_queue& timers, decision_log& log,
        gateway_metrics& metrics);
    ~absence_detector();

    /// Records that \p target responded to a probe that was sent at \p sentAt.
    void recordResponse(const target_name& target, instant sentAt);

    /// Receives whether the target is absent.
    using decision = std::function<void(bool absent)>;

    /// Records a probe without a response. The decision follows at once or within a tenth of a second, when a further
    /// probe of the target and one of another zone have ended.
    /// \param done receives the decision, unless the target responds before
    void recordSilence(const silent_probe_report& silence, decision done = {});

private:
    struct undecided_silence {
        silent_probe_report report;
        std::vector<decision> owners; // of this probe and of later ones of the target
    };

    void confirm(const target_entry& silent);
    void decide();
    void apply(const undecided_silence& silence, bool absent);
    void recordFinding(const silent_probe_report& silence, bool absent);

    target_tracker& m_targetTracker;
    probe_sender m_probe;
    timer_queue& m_timers;
    decision_log& m_log;
    gateway_metrics& m_metrics;
    absence_evidence m_evidence;
    std::map<target_name, undecided_silence> m_undecided;
    std::optional<target_name> m_lastSilentWitness; // not asked again at once: it may be absent itself
    timer_handle m_timer = 0;
};

} // namespace oriolepick
