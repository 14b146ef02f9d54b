#include "core/call_row.h"

namespace oriolepick {

std::string callRowKey(const request_key& key)
{
    return "call/" + key.text();
}

std::string callRowPrefix(const team_id& team)
{
    return "call/" + team.text() + "/";
}

call_reply describeCall(const std::optional<call_row>& row, wall_time now)
{
    if (!row)
        return error { error_kind::UnknownCall, "no call with this key is recorded", {} };
    switch (row->state) {
    case call_row_state::Answered:
        return row->answer;
    case call_row_state::Refused:
        // After row->at, a request that is already in progress may claim the key again.
        if (now <= row->at)
            return error { error_kind::Overloaded, "the call was refused and did not run", {} };
        return error { error_kind::OutcomeUnknown, "the call was refused; a later request with this key may run", {} };
    case call_row_state::Claimed:
        return error { error_kind::OutcomeUnknown, "the call is in progress, or its node was lost", {} };
    case call_row_state::MayHaveRun:
        break;
    }
    return error { error_kind::OutcomeUnknown, "the call was dispatched and its outcome is not known", {} };
}

std::string_view toString(call_row_state state)
{
    switch (state) {
    case call_row_state::Claimed:
        return "claimed";
    case call_row_state::Answered:
        return "answered";
    case call_row_state::Refused:
        return "refused";
    case call_row_state::MayHaveRun:
        break;
    }
    return "may_have_run";
}

} // namespace oriolepick
