/* libFuzzer target for the frames between processes.  An input is taken as one
   whole frame, and as what a peer sends on a link with short frames: whatever
   decodes must encode to what decodes to the same again.

     CC=clang meson setup build-fuzz -Dfuzz=true
     ninja -C build-fuzz tests/fuzz-frames
     build-fuzz/tests/fuzz-frames -max_total_time=60  */

#include "wire/msg-state.h"
#include "wire/msg.h"

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* One direction of a link that passes on what another one brought.  */
typedef struct
{
  msg_state_t from; /* of the peer that is fuzzed */
  msg_state_t sender;
  msg_state_t receiver;
} relay_t;

static GByteArray *
whole_frame (const msg_t *message)
{
  GByteArray *frame = msg_encode (message, NULL);

  if (frame == NULL)
    abort ();
  return frame;
}

/* Both must be the same message.  */
static void
compare (const msg_t *first, const msg_t *second)
{
  g_autoptr (GByteArray) a = whole_frame (first);
  g_autoptr (GByteArray) b = whole_frame (second);

  if (a->len != b->len || memcmp (a->data, b->data, a->len) != 0)
    abort ();
}

static const uint8_t *
payload_of (const GByteArray *frame, bool is_short, uint32_t *length)
{
  size_t prefix;

  if (msg_parse_length (frame->data, frame->len, is_short, length, &prefix)
      != MSG_LENGTH_COMPLETE)
    abort ();
  return frame->data + prefix;
}

static void
check_whole (const uint8_t *data, size_t size)
{
  g_autoptr (msg_t) first = msg_decode (data, size, NULL, NULL);
  g_autoptr (msg_t) second = NULL;
  g_autoptr (GByteArray) frame = NULL;
  const uint8_t *payload;
  uint32_t length;

  if (first == NULL)
    return;
  frame = whole_frame (first);
  payload = payload_of (frame, false, &length);
  second = msg_decode (payload, length, NULL, NULL);
  if (second == NULL)
    abort ();
  compare (first, second);
}

/* False when the link would be closed.  */
static bool
pass_on (relay_t *relay, const uint8_t *payload, uint32_t length)
{
  g_autoptr (msg_t) first = msg_decode (payload, length, &relay->from, NULL);
  g_autoptr (msg_t) second = NULL;
  g_autoptr (GByteArray) frame = NULL;
  const uint8_t *again;

  if (first == NULL)
    return false;
  frame = msg_encode (first, &relay->sender);
  /* A stamp of the peer may be too far ahead of the last to be said.  */
  if (frame == NULL)
    return false;
  again = payload_of (frame, true, &length);
  second = msg_decode (again, length, &relay->receiver, NULL);
  if (second == NULL)
    abort ();
  compare (first, second);
  return true;
}

static void
check_stream (const uint8_t *data, size_t size)
{
  relay_t relay = { 0 };
  uint32_t length;
  size_t prefix;

  while (msg_parse_length (data, size, true, &length, &prefix)
             == MSG_LENGTH_COMPLETE
         && prefix + length <= size && pass_on (&relay, data + prefix, length))
    {
      data += prefix + length;
      size -= prefix + length;
    }
  msg_state_clear (&relay.from);
  msg_state_clear (&relay.sender);
  msg_state_clear (&relay.receiver);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  check_whole (data, size);
  check_stream (data, size);
  return 0;
}
