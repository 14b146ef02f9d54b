#include "node/generation_names.h"

namespace oriolepick {

const char* toString(attempt_purpose purpose)
{
    switch (purpose) {
    case attempt_purpose::Start:
        return "start";
    case attempt_purpose::Continue:
        return "continue";
    case attempt_purpose::Replay:
        return "replay";
    case attempt_purpose::Hedge:
        break;
    }
    return "hedge";
}

const char* toString(generation_counter counter)
{
    switch (counter) {
    case generation_counter::OldAttemptToken:
        return "old_attempt_token";
    case generation_counter::RepeatedToken:
        return "repeated_token";
    case generation_counter::TokenGap:
        return "token_gap";
    case generation_counter::Suspicion:
        return "suspicion";
    case generation_counter::FalseSuspicion:
        return "false_suspicion";
    case generation_counter::Hedge:
        return "hedge";
    case generation_counter::HedgeWon:
        return "hedge_won";
    case generation_counter::Attach:
        return "attach";
    case generation_counter::AttachWorked:
        return "attach_worked";
    case generation_counter::Resumed:
        return "resumed";
    case generation_counter::DigestMismatch:
        return "digest_mismatch";
    case generation_counter::WrongVersion:
        return "wrong_version";
    case generation_counter::RetryDenied:
        return "retry_denied";
    case generation_counter::Superseded:
        break;
    }
    return "superseded";
}

} // namespace oriolepick
