/* Who is let in: only who proves the secret, as the instance that was
   dialled, in its own direction.  */

#include "wire/test-hubs.h"

#include "base/addr.h"
#include <sys/socket.h>
#include <unistd.h>

static bool
b_refused (hubs_t *hubs)
{
  return hubs_counters (&hubs->b).links_refused > 0;
}

static void
test_wrong_secret (void)
{
  hubs_t hubs;

  hubs_start (&hubs, "another secret of the size");
  hubs_hold_b (&hubs);
  hubs_run_until (&hubs, b_refused);
  g_assert_cmpstr (hubs.a.told->str, ==, "");
  g_assert_cmpstr (hubs.b.told->str, ==, "");
  hubs_end (&hubs);
}

static bool
a_refused (hubs_t *hubs)
{
  return hubs_counters (&hubs->a).links_refused > 0;
}

/* The platform's list lags: at the address of "b" there is by now another
   process of the fleet.  What is meant for "b" must not go to it.  */
static void
test_other_instance (void)
{
  hubs_t hubs;

  hubs_start (&hubs, HUBS_SECRET);
  hubs_node_start (&hubs, &hubs.c, ROLE_AGENT, "c", hubs.address_c, 3,
                   HUBS_SECRET);
  peer_hub_set_address (hubs.a.hub, "b", hubs.address_c);
  peer_hub_hold (hubs.a.hub, "b");
  hubs_run_until (&hubs, a_refused);
  g_assert_cmpstr (hubs.a.told->str, ==, "");
  hubs_end (&hubs);
}

/* ---- somebody without the secret ---- */

static void
raw_send (hubs_t *hubs, const void *data, size_t length)
{
  g_assert_cmpint (send (hubs->raw, data, length, MSG_NOSIGNAL), ==,
                   (gssize)length);
}

static void
raw_send_message (hubs_t *hubs, const msg_t *message)
{
  g_autoptr (GByteArray) frame = msg_encode (message, NULL);

  raw_send (hubs, frame->data, frame->len);
}

static bool
raw_has_frame (hubs_t *hubs)
{
  uint32_t length;

  if (recv (hubs->raw, &length, sizeof length, MSG_PEEK) != sizeof length)
    return false;
  return recv (hubs->raw, hubs->a.hub->chunk, GUINT32_FROM_BE (length) + 4,
               MSG_PEEK)
         == (gssize)GUINT32_FROM_BE (length) + 4;
}

/* The next frame with its prefix.  */
static GByteArray *
raw_receive (hubs_t *hubs)
{
  GByteArray *frame = g_byte_array_new ();
  uint32_t length;

  hubs_run_until (hubs, raw_has_frame);
  g_assert_cmpint (recv (hubs->raw, &length, sizeof length, MSG_PEEK), ==,
                   sizeof length);
  g_byte_array_set_size (frame, GUINT32_FROM_BE (length) + 4);
  g_assert_cmpint (recv (hubs->raw, frame->data, frame->len, 0), ==,
                   frame->len);
  return frame;
}

static int listener;

static bool
raw_accepted (hubs_t *hubs)
{
  hubs->raw = accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  return hubs->raw >= 0;
}

/* An impostor at the address of "b" sends the dialler's own proof back to it.
   The directions differ, so it is no proof of the acceptor.  */
static void
test_reflected_proof (void)
{
  static const uint8_t nonce[MSG_NONCE_SIZE] = { 7 };
  msg_t hello = {
    .kind = MSG_HELLO,
    .u.hello
    = { MSG_PROTOCOL, ROLE_AGENT, "b", "zone-a", 2, { nonce, sizeof nonce } }
  };
  hubs_t hubs;

  hubs_start (&hubs, HUBS_SECRET);
  hubs_node_stop (&hubs.b);
  listener = addr_listen (hubs.address_b, NULL);
  hubs_hold_b (&hubs);
  hubs_run_until (&hubs, raw_accepted);
  g_byte_array_unref (raw_receive (&hubs));
  raw_send_message (&hubs, &hello);
  {
    g_autoptr (GByteArray) proof = raw_receive (&hubs);

    raw_send (&hubs, proof->data, proof->len);
  }
  hubs_run_until (&hubs, a_refused);
  g_assert_cmpstr (hubs.a.told->str, ==, "");
  close (listener);
  hubs_end (&hubs);
}

/* The dialler's own HELLO comes back to it: a mirror is not a peer.  */
static void
test_reflected_hello (void)
{
  hubs_t hubs;

  hubs_start (&hubs, HUBS_SECRET);
  hubs_node_stop (&hubs.b);
  listener = addr_listen (hubs.address_b, NULL);
  hubs_hold_b (&hubs);
  hubs_run_until (&hubs, raw_accepted);
  {
    g_autoptr (GByteArray) hello = raw_receive (&hubs);

    raw_send (&hubs, hello->data, hello->len);
  }
  hubs_run_until (&hubs, a_refused);
  g_assert_cmpstr (hubs.a.told->str, ==, "");
  close (listener);
  hubs_end (&hubs);
}

static bool
b_closed_all (hubs_t *hubs)
{
  peer_counters_t counted = hubs_counters (&hubs->b);

  return counted.frames_bad + counted.links_refused > 0
         && hubs->b.hub->unproved == 0;
}

static void
test_hostile_openings (void)
{
  static const struct
  {
    const char *bytes;
    size_t length;
  } cases[] = {
#define BYTES(text) text, sizeof (text) - 1
    { BYTES ("GET / HTTP/1.1\r\n\r\n") },
    { BYTES ("\x00\x00\x00\x00") },
    { BYTES ("\x00\x00\x04\x01") },
    { BYTES ("\xff\xff\xff\xff") },
    { BYTES ("\x00\x00\x00\x04\x93\x03\x01\x01") },
    { BYTES ("\x00\x00\x00\x05\x94\x0f\x01\x01\xa0") },
    { BYTES ("\x00\x00\x00\x06\x94\x02\x01\x01\xc4\x00") },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      addr_t addr;
      hubs_t hubs;

      hubs_start (&hubs, HUBS_SECRET);
      g_assert_true (addr_parse (hubs.address_b, &addr, NULL));
      hubs.raw = addr_connect (&addr);
      g_byte_array_unref (raw_receive (&hubs));
      raw_send (&hubs, cases[i].bytes, cases[i].length);
      hubs_run_until (&hubs, b_closed_all);
      g_assert_cmpstr (hubs.b.told->str, ==, "");
      hubs_end (&hubs);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  hubs_log_as_notes ();
  g_test_add_func ("/peer-auth/wrong-secret", test_wrong_secret);
  g_test_add_func ("/peer-auth/other-instance", test_other_instance);
  g_test_add_func ("/peer-auth/reflected-proof", test_reflected_proof);
  g_test_add_func ("/peer-auth/reflected-hello", test_reflected_hello);
  g_test_add_func ("/peer-auth/hostile-openings", test_hostile_openings);
  return g_test_run ();
}
