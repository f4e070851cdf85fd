/* Answer ends.  */

#include "relay/end.h"

end_kind_t
end_classify (const end_evidence_t *evidence)
{
  switch (evidence->exchange)
    {
    case UPS_COMPLETE:
      if (evidence->is_stream && evidence->is_inside_event)
        return END_SPLIT_EVENT;
      return evidence->framing == RD_CHUNKS ? END_CHUNKS : END_LENGTH;
    case UPS_CLOSED:
      if (evidence->is_stream && evidence->is_inside_event)
        return END_SPLIT_EVENT;
      if (evidence->is_stream && evidence->is_empty)
        return END_NO_EVENT;
      return END_CLOSE;
    case UPS_TRUNCATED:
      return END_TRUNCATED;
    case UPS_RESET:
      return END_RESET;
    case UPS_NO_RESPONSE:
      return END_NO_ANSWER;
    case UPS_TIMED_OUT:
      return END_TIMED_OUT;
    case UPS_MALFORMED:
      return END_MALFORMED;
    case UPS_CONNECT_FAILED:
      break;
    }
  return END_NOT_CONNECTED;
}

bool
end_is_whole (end_kind_t kind)
{
  return kind == END_LENGTH || kind == END_CHUNKS || kind == END_CLOSE;
}

const char *
end_get_name (end_kind_t kind)
{
  switch (kind)
    {
    case END_LENGTH:
      return "length";
    case END_CHUNKS:
      return "chunks";
    case END_CLOSE:
      return "close";
    case END_NO_EVENT:
      return "no-event";
    case END_SPLIT_EVENT:
      return "split-event";
    case END_TRUNCATED:
      return "truncated";
    case END_RESET:
      return "reset";
    case END_NO_ANSWER:
      return "no-answer";
    case END_TIMED_OUT:
      return "timed-out";
    case END_MALFORMED:
      return "malformed";
    case END_NOT_CONNECTED:
      return "not-connected";
    case END_KINDS:
      break;
    }
  return "unknown";
}
