/* Tests of frames: every kind is decoded as it was encoded, and truncated,
   hostile and mutated frames are rejected.  */

#include "wire/msg-fields.h"

#include <math.h>
#include <string.h>

#define MUTATIONS 30000
#define PREFIX sizeof (uint32_t)

static const char *const header_lines[]
    = { "Content-Type: text/plain", "X: " };
static const char *const records[] = { "{\"kind\":\"service\"}", "" };
static const msg_waiting_t waiting[] = {
  { "branch-1", 3, 1, 250, 12345.0 },
  { "", 0, UINT32_MAX, 0, 0.125 },
};
static const msg_report_entry_t reports[] = {
  { "mill", "summary", 9, 1e12, 17, 0.5, -INFINITY, true },
};
static const msg_share_entry_t shares[] = {
  { "mill", "summary", UINT64_MAX, 1.5, 4294967296.0 },
};
static const uint8_t bytes[] = { 0, 1, 255, 0 };

#define BYTES                                                                 \
  {                                                                           \
    bytes, sizeof bytes                                                       \
  }

static const msg_t messages[] = {
  { .kind = MSG_HELLO,
    .u.hello = { 1, ROLE_ROUTER, "r1", "zone-a", UINT64_MAX, BYTES, true } },
  { .kind = MSG_PROOF, .u.proof = { BYTES } },
  { .kind = MSG_PING },
  { .kind = MSG_PONG },
  { .kind = MSG_ANNOUNCE,
    .u.announce = { "draft", true, 3000, G_N_ELEMENTS (waiting), waiting } },
  { .kind = MSG_ANNOUNCE, .u.announce = { "draft", false, 1, 0, NULL } },
  { .kind = MSG_GRANT,
    .u.grant = { 7, UINT64_MAX, "draft", "branch-1", INFINITY, 3.25 } },
  { .kind = MSG_ASSIGN,
    .u.assign = { 7,
                  8,
                  "req",
                  "branch-1",
                  "draft",
                  "POST",
                  "/v1/x",
                  2,
                  header_lines,
                  BYTES,
                  0.1,
                  true,
                  { "branch-1", 1, 2, 3, 4.5 } } },
  { .kind = MSG_DECLINE,
    .u.decline = { 7, DECLINE_DRAINING, "draft", { "a", 1, 2, 3, 4 } } },
  { .kind = MSG_NOT_STARTED, .u.not_started = { "req", "the grant lapsed" } },
  { .kind = MSG_HEAD, .u.head = { "req", 200, 2, header_lines } },
  { .kind = MSG_DATA, .u.data = { "req", 1ull << 40, 17, BYTES } },
  { .kind = MSG_END, .u.end = { "req", OUTCOME_UNKNOWN, 9, 1, 2, "why" } },
  { .kind = MSG_ACK, .u.ack = { "req", 65536, true } },
  { .kind = MSG_RESUME, .u.resume = { "req", 0, false } },
  { .kind = MSG_CANCEL, .u.cancel = { "req" } },
  { .kind = MSG_REPORT, .u.report = { G_N_ELEMENTS (reports), reports } },
  { .kind = MSG_SHARE, .u.share = { G_N_ELEMENTS (shares), shares } },
  { .kind = MSG_CONFIG_ASK, .u.config_ask = { 41, true, 40, { 1, "n" } } },
  { .kind = MSG_CONFIG_PART,
    .u.config_part = { 1, 2, 3, 2, records, 4, { 1, "n" }, { 2, "" } } },
  { .kind = MSG_LOAD, .u.load = { "draft", 1, 2, 3 } },
};

static GByteArray *
encode_sample (unsigned index)
{
  msg_t message = messages[index];

  message.stamp = 1ull << 63;
  message.revision = 990;
  return msg_encode (&message, NULL);
}

static msg_t *
decode_frame (const GByteArray *frame, GError **error)
{
  return msg_decode (frame->data + PREFIX, frame->len - PREFIX, NULL, error);
}

static void
test_round_trip (void)
{
  unsigned kinds = 0;

  for (unsigned i = 0; i < G_N_ELEMENTS (messages); i++)
    {
      g_autoptr (GError) error = NULL;
      g_autoptr (GByteArray) sent = encode_sample (i);
      g_autoptr (msg_t) decoded = decode_frame (sent, &error);
      g_autoptr (GByteArray) encoded_again = NULL;

      g_assert_no_error (error);
      encoded_again = msg_encode (decoded, NULL);
      g_assert_cmpmem (sent->data, sent->len, encoded_again->data,
                       encoded_again->len);
      g_assert_cmpuint (decoded->kind, ==, messages[i].kind);
      g_assert_cmpuint (decoded->revision, ==, 990);
      kinds |= 1u << decoded->kind;
    }
  g_assert_cmpuint (kinds, ==, (1u << MSG_KIND_COUNT) - 2);
}

/* The same table drives encoding and decoding, so the round trip would not
   detect a swapped offset.  Checks the fields of the largest kind.  */
static void
test_fields (void)
{
  g_autoptr (GByteArray) frame = NULL;
  g_autoptr (msg_t) decoded = NULL;
  const msg_assign_t *assign;
  unsigned index = 0;

  while (messages[index].kind != MSG_ASSIGN)
    index++;
  frame = encode_sample (index);
  decoded = decode_frame (frame, NULL);
  assign = &decoded->u.assign;
  g_assert_cmpuint (assign->grant, ==, 7);
  g_assert_cmpuint (assign->incarnation, ==, 8);
  g_assert_cmpstr (assign->request, ==, "req");
  g_assert_cmpstr (assign->account, ==, "branch-1");
  g_assert_cmpstr (assign->service, ==, "draft");
  g_assert_cmpstr (assign->method, ==, "POST");
  g_assert_cmpstr (assign->path, ==, "/v1/x");
  g_assert_cmpuint (assign->header_count, ==, 2);
  g_assert_cmpstr (assign->headers[1], ==, "X: ");
  g_assert_cmpmem (assign->body.data, assign->body.length, bytes,
                   sizeof bytes);
  g_assert_cmpfloat (assign->cost_hint, ==, 0.1);
  g_assert_true (assign->idempotent);
  g_assert_cmpuint (assign->left.oldest_ms, ==, 3);
  /* 4.5, rounded to whole tokens.  */
  g_assert_cmpfloat (assign->left.virtual_time, ==, 5);
}

/* Strings may be NULL in a message to encode, but never in a decoded one.  */
static void
test_null_strings (void)
{
  msg_t message = { .kind = MSG_ASSIGN };
  g_autoptr (GByteArray) frame = msg_encode (&message, NULL);
  g_autoptr (msg_t) decoded = decode_frame (frame, NULL);

  g_assert_cmpstr (decoded->u.assign.left.account, ==, "");
  g_assert_cmpstr (decoded->u.assign.path, ==, "");
}

static void
test_truncated (void)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (messages); i++)
    {
      g_autoptr (GByteArray) frame = encode_sample (i);

      for (size_t length = 0; length < frame->len - PREFIX; length++)
        {
          g_autoptr (GError) error = NULL;
          /* A copy of exactly this size, so that sanitizers detect a read past
             its end.  */
          g_autofree uint8_t *cut = g_memdup2 (frame->data + PREFIX, length);

          g_assert_null (msg_decode (cut, length, NULL, &error));
          g_assert_error (error, CFD_ERROR, CFD_ERROR_FRAME);
        }
    }
}

/* Frames of an older program, without the optional fields, are accepted.  */
static void
test_late (void)
{
  /* CONFIG_ASK of revision 41, and CONFIG_PART of (1, 2], 3 ms old.  */
  static const char ask[] = "\x94\x12\x01\x01\x29";
  static const char part[] = "\x97\x13\x01\x01\x01\x02\x03\x91\xa2{}";
  g_autoptr (GError) error = NULL;
  g_autoptr (msg_t) got_ask
      = msg_decode ((const uint8_t *)ask, sizeof ask - 1, NULL, &error);
  g_autoptr (msg_t) got_part
      = msg_decode ((const uint8_t *)part, sizeof part - 1, NULL, &error);

  g_assert_no_error (error);
  g_assert_cmpuint (got_ask->u.config_ask.have, ==, 41);
  g_assert_false (got_ask->u.config_ask.pieces);
  g_assert_cmpuint (got_ask->u.config_ask.state, ==, 0);
  g_assert_cmpuint (got_part->u.config_part.count, ==, 1);
  g_assert_cmpuint (got_part->u.config_part.state, ==, 0);
  g_assert_cmpuint (got_part->u.config_part.next.kind, ==, 0);
}

#define PAYLOAD(text) (text), sizeof (text) - 1

static void
test_hostile (void)
{
  static const struct
  {
    const char *name;
    const char *payload;
    size_t length;
    bool is_valid;
  } cases[] = {
    { "empty", PAYLOAD (""), false },
    { "a ping", PAYLOAD ("\x93\x03\x01\x01"), true },
    { "an additional field", PAYLOAD ("\x94\x03\x01\x01\xa1z"), true },
    { "a byte after the frame", PAYLOAD ("\x93\x03\x01\x01\x01"), false },
    { "no array", PAYLOAD ("\x03"), false },
    { "too few fields", PAYLOAD ("\x92\x03\x01"), false },
    { "kind 0", PAYLOAD ("\x93\x00\x01\x01"), false },
    { "unknown kind", PAYLOAD ("\x93\x7f\x01\x01"), false },
    { "negative stamp", PAYLOAD ("\x93\x03\xff\x01"), false },
    { "stamp as text", PAYLOAD ("\x93\x03\xa1z\x01"), false },
    { "array of 4 G items", PAYLOAD ("\xdd\xff\xff\xff\xff\x03"), false },
    { "array of 64 K items", PAYLOAD ("\xdc\xff\xff\x03\x01\x01"), false },
    { "map", PAYLOAD ("\x81\x03\x01"), false },
    { "text of 4 GB", PAYLOAD ("\x94\x0f\x01\x01\xdb\xff\xff\xff\xffz"),
      false },
    { "extension", PAYLOAD ("\x94\x0f\x01\x01\xd4\x01z"), false },
    { "nil in place of text", PAYLOAD ("\x94\x0f\x01\x01\xc0"), false },
    { "a cancel", PAYLOAD ("\x94\x0f\x01\x01\xa1z"), true },
    { "a name by number in a whole frame", PAYLOAD ("\x94\x0f\x01\x01\x00"),
      false },
    { "zero byte in text", PAYLOAD ("\x94\x0f\x01\x01\xa2z\x00"), false },
    { "role 0", PAYLOAD ("\x99\x01\x01\x01\x01\x00\xa1z\xa1z\x01\xc4\x01z"),
      false },
    { "role 4", PAYLOAD ("\x99\x01\x01\x01\x01\x04\xa1z\xa1z\x01\xc4\x01z"),
      false },
    { "role 3", PAYLOAD ("\x99\x01\x01\x01\x01\x03\xa1z\xa1z\x01\xc4\x01z"),
      true },
    { "number in place of a flag", PAYLOAD ("\x96\x0d\x01\x01\xa1z\x01\x01"),
      false },
    { "32 bits exceeded",
      PAYLOAD ("\x97\x14\x01\x01\xa1z\x01\x01"
               "\xcf\x00\x00\x00\x01\x00\x00\x00\x00"),
      false },
    { "not a number",
      PAYLOAD ("\x99\x06\x01\x01\x01\x01\xa1z\xa1z"
               "\xcb\x7f\xf8\x00\x00\x00\x00\x00\x00\x01"),
      false },
    { "infinite limit",
      PAYLOAD ("\x99\x06\x01\x01\x01\x01\xa1z\xa1z"
               "\xcb\x7f\xf0\x00\x00\x00\x00\x00\x00\x01"),
      true },
    { "infinite virtual time",
      PAYLOAD ("\x94\x11\x01\x01\x91\x95\xa1z\xa1z\x01\x01"
               "\xcb\x7f\xf0\x00\x00\x00\x00\x00\x00"),
      false },
    { "row too short", PAYLOAD ("\x94\x11\x01\x01\x91\x93\xa1z\xa1z\x01"),
      false },
    { "row of no array", PAYLOAD ("\x94\x11\x01\x01\x91\x01"), false },
    { "nested 40 deep",
      PAYLOAD ("\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91"
               "\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91"
               "\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x01"),
      false },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree uint8_t *copy = g_memdup2 (cases[i].payload, cases[i].length);
      g_autoptr (GError) error = NULL;
      g_autoptr (msg_t) decoded
          = msg_decode (copy, cases[i].length, NULL, &error);

      if ((decoded != NULL) != cases[i].is_valid)
        g_error ("%s: %s", cases[i].name, error ? error->message : "accepted");
      g_assert_true ((error == NULL) == cases[i].is_valid);
    }
}

/* The sender rejects messages for which the receiver would close the link.  */
static void
test_limits (void)
{
  static const uint8_t body[MSG_DATA_MAX + 1];
  static const char *const many[MSG_HEADERS_MAX + 1];
  g_autofree char *name = g_strnfill (MSG_NAME_MAX + 1, 'n');
  g_autofree char *text = g_strnfill (MSG_TEXT_MAX + 1, 't');
  const char *const texts[] = { text };
  const msg_waiting_t infinite = { "a", 1, 1, 1, INFINITY };
  const msg_t cases[] = {
    { .kind = MSG_CANCEL, .u.cancel = { name } },
    { .kind = MSG_NOT_STARTED, .u.not_started = { "r", text } },
    { .kind = MSG_DATA, .u.data = { "r", 0, 0, { body, sizeof body } } },
    { .kind = MSG_HEAD, .u.head = { "r", 200, 1, texts } },
    { .kind = MSG_HEAD, .u.head = { "r", 200, MSG_HEADERS_MAX + 1, many } },
    { .kind = MSG_ANNOUNCE, .u.announce = { "s", true, 1, 1, &infinite } },
    { .kind = MSG_GRANT, .u.grant = { 1, 1, "s", "a", NAN, 1 } },
    { .kind = MSG_DECLINE, .u.decline = { 1, 0, "s", { 0 } } },
    { .kind = MSG_KIND_COUNT },
    { .kind = 0 },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    g_assert_null (msg_encode (&cases[i], NULL));
}

/* The receiver checks the same limits, in case a sender does not.  */
static void
test_too_long (void)
{
  static const struct
  {
    const char *start;
    size_t length;
    uint8_t filler_byte;
    unsigned filler_count;
    bool is_valid;
  } cases[] = {
    { PAYLOAD ("\x94\x0f\x01\x01\xda\x00\xff"), 'n', 255, true },
    { PAYLOAD ("\x94\x0f\x01\x01\xda\x01\x00"), 'n', 256, false },
    { PAYLOAD ("\x97\x0b\x01\x01\xa1r\x01\x01\xc6\x00\x01\x00\x00"), 0, 65536,
      true },
    { PAYLOAD ("\x97\x0b\x01\x01\xa1r\x01\x01\xc6\x00\x01\x00\x01"), 0, 65537,
      false },
    { PAYLOAD ("\x96\x0a\x01\x01\xa1r\x01\xdc\x00\x40"), 0xa0, 64, true },
    { PAYLOAD ("\x96\x0a\x01\x01\xa1r\x01\xdc\x00\x41"), 0xa0, 65, false },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GByteArray) payload = g_byte_array_new ();
      g_autoptr (msg_t) decoded = NULL;

      g_byte_array_append (payload, (const guint8 *)cases[i].start,
                           cases[i].length);
      for (unsigned n = 0; n < cases[i].filler_count; n++)
        g_byte_array_append (payload, &cases[i].filler_byte, 1);
      decoded = msg_decode (payload->data, payload->len, NULL, NULL);
      g_assert_true ((decoded != NULL) == cases[i].is_valid);
    }
}

/* A mutated frame that is accepted must decode to a valid message.  Encoding
   it again reads every field, so that sanitizers detect an invalid pointer. */
static void
test_mutated (void)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (20250101);
  unsigned accepted = 0;

  for (unsigned i = 0; i < MUTATIONS; i++)
    {
      g_autoptr (GByteArray) frame = encode_sample (
          g_rand_int_range (random, 0, G_N_ELEMENTS (messages)));
      g_autoptr (msg_t) decoded = NULL;
      int flip_count = g_rand_int_range (random, 1, 5);

      while (flip_count-- > 0)
        frame->data[g_rand_int_range (random, PREFIX, frame->len)]
            = (uint8_t)g_rand_int_range (random, 0, 256);
      decoded = decode_frame (frame, NULL);
      if (decoded == NULL)
        continue;
      g_byte_array_unref (msg_encode (decoded, NULL));
      accepted++;
    }
  g_test_message ("accepted %u of %u", accepted, MUTATIONS);
  g_assert_cmpuint (accepted, >, 0);
  g_assert_cmpuint (accepted, <, MUTATIONS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/msg/round-trip", test_round_trip);
  g_test_add_func ("/msg/fields", test_fields);
  g_test_add_func ("/msg/late", test_late);
  g_test_add_func ("/msg/null-strings", test_null_strings);
  g_test_add_func ("/msg/truncated", test_truncated);
  g_test_add_func ("/msg/hostile", test_hostile);
  g_test_add_func ("/msg/limits", test_limits);
  g_test_add_func ("/msg/too-long", test_too_long);
  g_test_add_func ("/msg/mutated", test_mutated);
  return g_test_run ();
}
