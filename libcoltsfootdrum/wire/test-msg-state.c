/* Short frames: both ends of a link number names alike, whatever was sent, and
   a sender that doesn't is refused.  */

#include "wire/msg.h"

#include <math.h>
#include <string.h>

#define ROUNDS 20000
#define INCARNATION 0xc0ffee0ddba11aadull

typedef struct
{
  msg_state_t sender;
  msg_state_t receiver;
} line_t;

static void
line_clear (line_t *line)
{
  msg_state_clear (&line->sender);
  msg_state_clear (&line->receiver);
}

static msg_t *
pass (line_t *line, const msg_t *message, size_t *bytes)
{
  g_autoptr (GByteArray) frame = msg_encode (message, &line->sender);
  uint32_t length;
  size_t prefix;

  g_assert_nonnull (frame);
  g_assert_cmpint (
      msg_parse_length (frame->data, frame->len, true, &length, &prefix), ==,
      MSG_LENGTH_COMPLETE);
  g_assert_cmpuint (prefix + length, ==, frame->len);
  *bytes = frame->len;
  return msg_decode (frame->data + prefix, length, &line->receiver, NULL);
}

static void
test_second_is_short (void)
{
  const msg_t grant = { .kind = MSG_GRANT,
                        .stamp = 0x019376c5a1b20003ull,
                        .revision = 123456,
                        .u.grant = { 4711, INCARNATION, "draft", "branch-12",
                                     INFINITY, 1234567.4 } };
  line_t line = { 0 };
  size_t first;
  size_t second;
  g_autoptr (msg_t) one = pass (&line, &grant, &first);
  g_autoptr (msg_t) two = pass (&line, &grant, &second);

  g_assert_cmpstr (two->u.grant.account, ==, "branch-12");
  g_assert_cmpstr (two->u.grant.service, ==, "draft");
  g_assert_cmpuint (two->stamp, ==, grant.stamp);
  g_assert_cmpuint (two->revision, ==, grant.revision);
  g_assert_cmpuint (one->u.grant.incarnation, ==, INCARNATION);
  g_assert_cmpuint (two->u.grant.incarnation, ==, INCARNATION);
  g_assert_true (isinf (two->u.grant.limit_vt));
  g_assert_cmpfloat (two->u.grant.floor, ==, 1234567);
  g_assert_cmpuint (second + 20, <, first);
  g_assert_cmpuint (second, <=, 24);
  line_clear (&line);
}

/* More names than numbers, messages that are refused in between: what arrives
   is what was sent.  */
static void
test_random (void)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (7);
  g_autofree char *too_long = g_strnfill (MSG_NAME_MAX + 1, 'n');
  line_t line = { 0 };
  msg_t message = { .kind = MSG_DECLINE, .stamp = 1ull << 57 };

  for (unsigned i = 0; i < ROUNDS; i++)
    {
      msg_decline_t *decline = &message.u.decline;
      g_autofree char *account = g_strdup_printf (
          "account-%d", g_rand_int_range (random, 0, 2 * MSG_NAMES_MAX));
      g_autofree char *service
          = g_strdup_printf ("s%d", g_rand_int_range (random, 0, 3));
      g_autoptr (msg_t) got = NULL;
      size_t bytes;

      message.stamp += (uint64_t)g_rand_int_range (random, 0, 1 << 20);
      message.revision += g_rand_boolean (random);
      decline->reason = DECLINE_STALE;
      decline->service = service;
      decline->left.account = too_long;
      if (g_rand_int_range (random, 0, 50) == 0)
        g_assert_null (msg_encode (&message, &line.sender));
      decline->left.account = account;
      got = pass (&line, &message, &bytes);
      g_assert_nonnull (got);
      g_assert_cmpstr (got->u.decline.left.account, ==, account);
      g_assert_cmpstr (got->u.decline.service, ==, service);
      g_assert_cmpuint (got->stamp, ==, message.stamp);
      g_assert_cmpuint (got->revision, ==, message.revision);
    }
  line_clear (&line);
}

#define PAYLOAD(text) (text), sizeof (text) - 1

/* A sender at fault, or one that is not ours, speaks of numbers that it never
   gave out.  The frame is refused and the link ends: a guess would give one
   account's slot to another.  */
static void
test_hostile (void)
{
  static const struct
  {
    const char *why;
    const char *payload;
    size_t length;
    bool good;
  } cases[] = {
    { "a name", PAYLOAD ("\x94\x0f\x01\x01\xa1z"), true },
    { "the number it got", PAYLOAD ("\x94\x0f\x01\x01\x00"), true },
    { "a number not given out", PAYLOAD ("\x94\x0f\x01\x01\x01"), false },
    { "the empty name gets none", PAYLOAD ("\x94\x0f\x01\x01\xa0"), true },
    { "so this is still not given out", PAYLOAD ("\x94\x0f\x01\x01\x01"),
      false },
    { "number past the table", PAYLOAD ("\x94\x0f\x01\x01\x40"), false },
    { "a number of 32 bits", PAYLOAD ("\x94\x0f\x01\x01\xce\xff\xff\xff\xff"),
      false },
    { "a number of 64 bits",
      PAYLOAD ("\x94\x0f\x01\x01\xcf\xff\xff\xff\xff\xff\xff\xff\xff"),
      false },
    { "a real", PAYLOAD ("\x94\x0f\x01\x01\xca\x00\x00\x00\x00"), false },
    { "a number for a text", PAYLOAD ("\x95\x09\x01\x01\x00\x00"), false },
    { "a stamp beyond the scale",
      PAYLOAD ("\x94\x0f\xcf\xff\xff\xff\xff\xff\xff\xff\xff\x01\x00"), true },
  };
  msg_state_t state = { 0 };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree uint8_t *copy = g_memdup2 (cases[i].payload, cases[i].length);
      g_autoptr (msg_t) got = msg_decode (copy, cases[i].length, &state, NULL);

      if ((got != NULL) != cases[i].good)
        g_error ("%s", cases[i].why);
    }
  msg_state_clear (&state);
}

static void
test_length (void)
{
  static const struct
  {
    const char *bytes;
    size_t have;
    msg_length_t what;
    uint32_t length;
    size_t prefix;
  } cases[] = {
    { PAYLOAD (""), MSG_LENGTH_INCOMPLETE, 0, 0 },
    { PAYLOAD ("\x7f"), MSG_LENGTH_COMPLETE, 127, 1 },
    { PAYLOAD ("\xcc"), MSG_LENGTH_INCOMPLETE, 0, 0 },
    { PAYLOAD ("\xcc\x80"), MSG_LENGTH_COMPLETE, 128, 2 },
    { PAYLOAD ("\xcd\x01"), MSG_LENGTH_INCOMPLETE, 0, 0 },
    { PAYLOAD ("\xcd\x01\x02"), MSG_LENGTH_COMPLETE, 258, 3 },
    { PAYLOAD ("\xce\xff\xff\xff\xfe"), MSG_LENGTH_COMPLETE, 0xfffffffe, 5 },
    { PAYLOAD ("\x80"), MSG_LENGTH_INVALID, 0, 0 },
    { PAYLOAD ("\xcf"), MSG_LENGTH_INVALID, 0, 0 },
    { PAYLOAD ("\xff"), MSG_LENGTH_INVALID, 0, 0 },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      uint32_t length;
      size_t prefix;

      g_assert_cmpint (msg_parse_length ((const uint8_t *)cases[i].bytes,
                                         cases[i].have, true, &length,
                                         &prefix),
                       ==, cases[i].what);
      if (cases[i].what != MSG_LENGTH_COMPLETE)
        continue;
      g_assert_cmpuint (length, ==, cases[i].length);
      g_assert_cmpuint (prefix, ==, cases[i].prefix);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/msg-state/second-is-short", test_second_is_short);
  g_test_add_func ("/msg-state/random", test_random);
  g_test_add_func ("/msg-state/hostile", test_hostile);
  g_test_add_func ("/msg-state/length", test_length);
  return g_test_run ();
}
