/* Links between processes: what is delivered, and what the owner is told when
   links and processes come and go.  */

#include "wire/test-hubs.h"

#include <string.h>

#define BYTES(text) text, sizeof (text) - 1

static bool
a_got_ack (hubs_t *hubs)
{
  return hubs_told (&hubs->a, "ACK<b ");
}

static void
test_messages (void)
{
  msg_t cancel = { .kind = MSG_CANCEL, .u.cancel = { "r" } };
  hubs_t hubs;

  hubs_start (&hubs, HUBS_SECRET);
  hubs.b.replies = true;
  hubs_hold_b (&hubs);
  g_assert_false (peer_hub_send (hubs.a.hub, "b", &cancel));
  hubs_run_until (&hubs, hubs_both_up);
  g_assert_true (peer_hub_is_up (hubs.a.hub, "b"));
  g_assert_true (peer_hub_send (hubs.a.hub, "b", &cancel));
  g_assert_cmpuint (peer_hub_get_pending_bytes (hubs.a.hub, "b"), >, 0);
  hubs_run_until (&hubs, a_got_ack);
  g_assert_cmpuint (peer_hub_get_pending_bytes (hubs.a.hub, "b"), ==, 0);
  g_assert_cmpstr (hubs.b.told->str, ==, "+a/1 CANCEL<a ");
  g_assert_cmpuint (hubs_counters (&hubs.a).links_up, ==, 1);
  hubs_end (&hubs);
}

/* ---- proved links that go wrong ---- */

static bool
b_counted_bad (hubs_t *hubs)
{
  return hubs_counters (&hubs->b).frames_bad > 0
         && hubs_told (&hubs->b, "-a/1 ");
}

static void
test_bad_frames_of_a_peer (void)
{
  static const struct
  {
    const char *bytes;
    size_t length;
  } cases[] = {
    { BYTES ("\xce\x00\x90\x00\x01") },         /* too long */
    { BYTES ("\xc1") },                         /* no length */
    { BYTES ("\x01\xc1") },                     /* no array */
    { BYTES ("\x06\x94\x02\x01\x01\xc4\x00") }, /* a PROOF again */
    { BYTES ("\x05\x94\x0f\x00\x00\x00") },     /* no such name */
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      hubs_t hubs;
      peer_link_t *link;

      hubs_start (&hubs, HUBS_SECRET);
      hubs_hold_b (&hubs);
      hubs_run_until (&hubs, hubs_both_up);
      link = hubs_link (&hubs.a, "b");
      g_byte_array_append (link->out, (const guint8 *)cases[i].bytes,
                           cases[i].length);
      link_flush (link);
      hubs_run_until (&hubs, b_counted_bad);
      hubs_end (&hubs);
    }
}

static bool
a_up_again (hubs_t *hubs)
{
  return hubs_told (&hubs->a, "+b/2 -b/2 +b/2 ")
         && hubs_told (&hubs->b, "+a/1 -a/1 +a/1 ");
}

static bool
b_is_quiet (hubs_t *hubs)
{
  return peer_hub_is_unresponsive (hubs->a.hub, "b", clock_now ());
}

/* The caller sees nothing: the router's held link to an agent goes silent for
   good, neither side gets an error.  The router finds it quiet while it is
   still up, closes it after the silence, dials anew, and both owners are told
   down and up, because frames in the old link are lost.  */
static void
test_silent_link (void)
{
  hubs_t hubs;

  hubs_start (&hubs, HUBS_SECRET);
  hubs_hold_b (&hubs);
  hubs_run_until (&hubs, hubs_both_up);
  g_assert_false (b_is_quiet (&hubs));
  ev_io_stop (hubs.loop, &hubs_link (&hubs.b, "a")->readable);
  hubs_run_until (&hubs, b_is_quiet);
  g_assert_cmpuint (hubs_counters (&hubs.a).silences, ==, 0);
  hubs_run_until (&hubs, a_up_again);
  g_assert_false (b_is_quiet (&hubs));
  g_assert_cmpuint (hubs_counters (&hubs.a).silences, ==, 1);
  g_assert_cmpuint (hubs_counters (&hubs.b).links_up, ==, 1);
  hubs_end (&hubs);
}

static bool
b_got_two (hubs_t *hubs)
{
  return hubs_told (&hubs->b, "CANCEL<a CANCEL<a ");
}

static bool
both_up_again (hubs_t *hubs)
{
  return hubs_told (&hubs->a, "-b/2 +b/2 ")
         && hubs_told (&hubs->b, "-a/1 +a/1 ");
}

static bool
b_got_one_more (hubs_t *hubs)
{
  return hubs_told (&hubs->b, "-a/1 +a/1 CANCEL<a ");
}

/* A request that is cancelled after its link was replaced is cancelled, and
   the new link stays: a name's number is of one link, so on the new one the
   name goes as text again.  Taken over from the old link, it would mean
   nothing to the agent, or another request.  */
static void
test_names_of_a_new_link (void)
{
  msg_t cancel = { .kind = MSG_CANCEL, .u.cancel = { "r" } };
  hubs_t hubs;

  hubs_start (&hubs, HUBS_SECRET);
  hubs_hold_b (&hubs);
  hubs_run_until (&hubs, hubs_both_up);
  g_assert_true (peer_hub_send (hubs.a.hub, "b", &cancel));
  g_assert_true (peer_hub_send (hubs.a.hub, "b", &cancel));
  hubs_run_until (&hubs, b_got_two);
  link_close (hubs_link (&hubs.a, "b"), "end of the test's first link");
  hubs_run_until (&hubs, both_up_again);
  g_assert_true (peer_hub_send (hubs.a.hub, "b", &cancel));
  hubs_run_until (&hubs, b_got_one_more);
  g_assert_cmpuint (hubs_counters (&hubs.b).frames_bad, ==, 0);
  hubs_end (&hubs);
}

/* During an upgrade a process meets one that knows no short frames.  Both must
   speak in whole ones then, or each would close the link at the first word and
   the fleet would be cut in two until all are upgraded.  */
static void
test_older_peer (void)
{
  msg_t cancel = { .kind = MSG_CANCEL, .u.cancel = { "r" } };
  hubs_t hubs;

  hubs_start (&hubs, HUBS_SECRET);
  hubs.b.hub->short_frames = false;
  hubs.b.replies = true;
  hubs_hold_b (&hubs);
  hubs_run_until (&hubs, hubs_both_up);
  g_assert_true (peer_hub_send (hubs.a.hub, "b", &cancel));
  hubs_run_until (&hubs, a_got_ack);
  g_assert_cmpuint (hubs_counters (&hubs.a).frames_bad, ==, 0);
  g_assert_cmpuint (hubs_counters (&hubs.b).frames_bad, ==, 0);
  hubs_end (&hubs);
}

static bool
a_saw_restart (hubs_t *hubs)
{
  return hubs_told (&hubs->a, "+b/2 -b/2 +b/9 ");
}

static void
test_restarted_agent (void)
{
  hubs_t hubs;

  hubs_start (&hubs, HUBS_SECRET);
  hubs_hold_b (&hubs);
  hubs_run_until (&hubs, hubs_both_up);
  hubs_node_stop (&hubs.b);
  hubs_node_start (&hubs, &hubs.b, ROLE_AGENT, "b", hubs.address_b, 9,
                   HUBS_SECRET);
  hubs_run_until (&hubs, a_saw_restart);
  hubs_end (&hubs);
}

static bool
a_saw_successor (hubs_t *hubs)
{
  return hubs_told (&hubs->a, "+c/3 -c/3 +c/4 ");
}

/* Router "c" was replaced while its old link to "a" still stands, for its old
   host is only cut off.  The new incarnation dials "a": the old link must
   end then, and its loss be told before the new one.  */
static void
test_replaced_router (void)
{
  hubs_t hubs;

  hubs_start (&hubs, HUBS_SECRET);
  hubs_node_start (&hubs, &hubs.c, ROLE_ROUTER, "c", hubs.address_c, 3,
                   HUBS_SECRET);
  peer_hub_set_address (hubs.c.hub, "a", hubs.address_a);
  peer_hub_hold (hubs.c.hub, "a");
  while (!hubs_told (&hubs.a, "+c/3 "))
    ev_run (hubs.loop, EVRUN_ONCE);
  peer_hub_release (hubs.c.hub, "a");
  hubs_node_stop (&hubs.b);
  hubs_node_start (&hubs, &hubs.b, ROLE_ROUTER, "c", hubs.address_b, 4,
                   HUBS_SECRET);
  peer_hub_set_address (hubs.b.hub, "a", hubs.address_a);
  peer_hub_hold (hubs.b.hub, "a");
  hubs_run_until (&hubs, a_saw_successor);
  g_assert_cmpuint (hubs_counters (&hubs.a).links_up, ==, 1);
  hubs_end (&hubs);
}

/* An owner that sends without looking at what is pending: the link is given
   up, nothing is dropped from a link that goes on.  */
static void
test_output_is_bounded (void)
{
  static uint8_t bytes[MSG_DATA_MAX];
  msg_t data
      = { .kind = MSG_DATA, .u.data = { "r", 0, 0, { bytes, sizeof bytes } } };
  size_t most = 0;
  hubs_t hubs;

  hubs_start (&hubs, HUBS_SECRET);
  hubs_hold_b (&hubs);
  hubs_run_until (&hubs, hubs_both_up);
  while (peer_hub_send (hubs.a.hub, "b", &data))
    most = MAX (most, peer_hub_get_pending_bytes (hubs.a.hub, "b"));
  g_assert_cmpuint (most, <=, PEER_MAX_OUTPUT_BYTES);
  g_assert_cmpstr (hubs.a.told->str, ==, "+b/2 ");
  hubs_run_until (&hubs, a_up_again);
  hubs_end (&hubs);
}

/* ---- the watch's decisions ---- */

static void
test_watch (void)
{
  static const struct
  {
    const char *why;
    bool held;
    int quiet_ms;  /* since something was heard */
    int pinged_ms; /* since the last PING */
    int open_ms;   /* since the oldest unanswered PING; 0: none */
    int late_ms;   /* since the watch last ran */
    bool closed;
    bool pings;
  } cases[] = {
    { "lively", true, 100, 1000, 0, 100, false, false },
    { "quiet for a heartbeat", true, 500, 600, 0, 100, false, true },
    { "just pinged", true, 600, 400, 400, 100, false, false },
    { "silent", true, 2000, 500, 1900, 100, true, false },
    { "silent, not held", false, 2000, 5000, 0, 100, false, false },
    { "idle", false, 30000, 40000, 0, 100, true, false },
    { "idle but held", true, 400, 2000, 0, 100, false, true },
    { "deaf: heard, never answered", true, 10, 500, 10000, 100, true, false },
    { "we were frozen", true, 9000, 9000, 9000, 9000, false, true },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      peer_link_t *link;
      cfd_time_t now;
      hubs_t hubs;
      size_t before;

      hubs_start (&hubs, HUBS_SECRET);
      hubs_hold_b (&hubs);
      hubs_run_until (&hubs, hubs_both_up);
      if (!cases[i].held)
        peer_hub_release (hubs.a.hub, "b");
      link = hubs_link (&hubs.a, "b");
      now = clock_now ();
      link->quiet_since = now - cases[i].quiet_ms;
      link->sent = link->quiet_since;
      link->pinged = now - cases[i].pinged_ms;
      link->ping_open = cases[i].open_ms ? now - cases[i].open_ms : 0;
      hubs.a.hub->ticked = now - cases[i].late_ms;
      before = link_pending (link);
      watch_links (hubs.a.hub, now);
      if ((link->state == LINK_CLOSED) != cases[i].closed
          || (!cases[i].closed
              && (link_pending (link) > before) != cases[i].pings))
        g_error ("%s", cases[i].why);
      hubs_end (&hubs);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  hubs_log_as_notes ();
  g_test_add_func ("/peer/messages", test_messages);
  g_test_add_func ("/peer/bad-frames-of-a-peer", test_bad_frames_of_a_peer);
  g_test_add_func ("/peer/silent-link", test_silent_link);
  g_test_add_func ("/peer/names-of-a-new-link", test_names_of_a_new_link);
  g_test_add_func ("/peer/older-peer", test_older_peer);
  g_test_add_func ("/peer/restarted-agent", test_restarted_agent);
  g_test_add_func ("/peer/replaced-router", test_replaced_router);
  g_test_add_func ("/peer/output-is-bounded", test_output_is_bounded);
  g_test_add_func ("/peer/watch", test_watch);
  return g_test_run ();
}
