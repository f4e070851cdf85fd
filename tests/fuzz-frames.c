/* libFuzzer target for the frames between processes.  An input is decoded as
   one whole frame, and as the stream of a peer on a link with short frames.
   Each decoded message must encode to a frame that decodes to the same
   message.

     CC=clang meson setup build-fuzz -Dfuzz=true
     ninja -C build-fuzz tests/fuzz-frames
     build-fuzz/tests/fuzz-frames -max_total_time=60 \
       -artifact_prefix=build-fuzz/  */

#include "wire/msg-state.h"
#include "wire/msg.h"

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Codec states for messages that are decoded from one link and forwarded on
   another.  */
typedef struct
{
  msg_state_t received_state; /* of the link with the fuzzed peer */
  msg_state_t sender_state;
  msg_state_t receiver_state;
} forwarder_t;

static GByteArray *
encode_frame (const msg_t *message)
{
  GByteArray *frame = msg_encode (message, NULL);

  if (frame == NULL)
    abort ();
  return frame;
}

/* Aborts unless both messages have the same encoding.  */
static void
require_equal (const msg_t *decoded, const msg_t *decoded_again)
{
  g_autoptr (GByteArray) a = encode_frame (decoded);
  g_autoptr (GByteArray) b = encode_frame (decoded_again);

  if (a->len != b->len || memcmp (a->data, b->data, a->len) != 0)
    abort ();
}

static const uint8_t *
get_payload (const GByteArray *frame, bool is_short, uint32_t *length)
{
  size_t prefix;

  if (msg_parse_length (frame->data, frame->len, is_short, length, &prefix)
      != MSG_LENGTH_COMPLETE)
    abort ();
  return frame->data + prefix;
}

static void
check_single_frame (const uint8_t *data, size_t size)
{
  g_autoptr (msg_t) decoded = msg_decode (data, size, NULL, NULL);
  g_autoptr (msg_t) decoded_again = NULL;
  g_autoptr (GByteArray) frame = NULL;
  const uint8_t *payload;
  uint32_t length;

  if (decoded == NULL)
    return;
  frame = encode_frame (decoded);
  payload = get_payload (frame, false, &length);
  decoded_again = msg_decode (payload, length, NULL, NULL);
  if (decoded_again == NULL)
    abort ();
  require_equal (decoded, decoded_again);
}

/* Decodes, re-encodes and decodes a message again; returns false when the link
   would be closed.  */
static bool
forward_message (forwarder_t *forwarder, const uint8_t *payload,
                 uint32_t length)
{
  g_autoptr (msg_t) decoded
      = msg_decode (payload, length, &forwarder->received_state, NULL);
  g_autoptr (msg_t) decoded_again = NULL;
  g_autoptr (GByteArray) frame = NULL;
  const uint8_t *reencoded;

  if (decoded == NULL)
    return false;
  frame = msg_encode (decoded, &forwarder->sender_state);
  /* The peer's time stamp may be too far ahead of the previous one to be
     encoded.  */
  if (frame == NULL)
    return false;
  reencoded = get_payload (frame, true, &length);
  decoded_again
      = msg_decode (reencoded, length, &forwarder->receiver_state, NULL);
  if (decoded_again == NULL)
    abort ();
  require_equal (decoded, decoded_again);
  return true;
}

static void
check_stream (const uint8_t *data, size_t size)
{
  forwarder_t forwarder = { 0 };
  uint32_t length;
  size_t prefix;

  while (msg_parse_length (data, size, true, &length, &prefix)
             == MSG_LENGTH_COMPLETE
         && prefix + length <= size
         && forward_message (&forwarder, data + prefix, length))
    {
      data += prefix + length;
      size -= prefix + length;
    }
  msg_state_clear (&forwarder.received_state);
  msg_state_clear (&forwarder.sender_state);
  msg_state_clear (&forwarder.receiver_state);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  check_single_frame (data, size);
  check_stream (data, size);
  return 0;
}
