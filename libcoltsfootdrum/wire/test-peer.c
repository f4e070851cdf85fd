/* Tests of peer links: delivery of messages, and events for the owner when
   links and processes fail and return.  */

#include "wire/test-hubs.h"

#include <string.h>

#define BYTES(text) text, sizeof (text) - 1

static bool
has_a_got_ack (hubs_t *hubs)
{
  return hubs_has_event (&hubs->a, "ACK<b ");
}

static void
test_messages (void)
{
  msg_t cancel = { .kind = MSG_CANCEL, .u.cancel = { "r" } };
  hubs_t hubs;

  hubs_start (&hubs, HUBS_SECRET);
  hubs.b.sends_ack = true;
  hubs_hold_b (&hubs);
  g_assert_false (peer_hub_send (hubs.a.hub, "b", &cancel));
  hubs_run_until (&hubs, hubs_are_both_up);
  g_assert_true (peer_hub_is_up (hubs.a.hub, "b"));
  g_assert_true (peer_hub_send (hubs.a.hub, "b", &cancel));
  g_assert_cmpuint (peer_hub_get_pending_bytes (hubs.a.hub, "b"), >, 0);
  hubs_run_until (&hubs, has_a_got_ack);
  g_assert_cmpuint (peer_hub_get_pending_bytes (hubs.a.hub, "b"), ==, 0);
  g_assert_cmpstr (hubs.b.event_log->str, ==, "+a/1 CANCEL<a ");
  g_assert_cmpuint (hubs_counters (&hubs.a).links_up, ==, 1);
  hubs_end (&hubs);
}

/* ---- faults on authenticated links ---- */

static bool
has_b_closed_bad_link (hubs_t *hubs)
{
  return hubs_counters (&hubs->b).frames_bad > 0
         && hubs_has_event (&hubs->b, "-a/1 ");
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
      hubs_run_until (&hubs, hubs_are_both_up);
      link = hubs_link (&hubs.a, "b");
      g_byte_array_append (link->out, (const guint8 *)cases[i].bytes,
                           cases[i].length);
      link_flush (link);
      hubs_run_until (&hubs, has_b_closed_bad_link);
      hubs_end (&hubs);
    }
}

static bool
is_a_up_again (hubs_t *hubs)
{
  return hubs_has_event (&hubs->a, "+b/2 -b/2 +b/2 ")
         && hubs_has_event (&hubs->b, "+a/1 -a/1 +a/1 ");
}

static bool
is_b_unresponsive (hubs_t *hubs)
{
  return peer_hub_is_unresponsive (hubs->a.hub, "b", clock_now ());
}

/* The router's held link to an agent hangs for good, without an error on
   either side.  The router must find it unresponsive while it is still up,
   close it after the silence timeout and dial again; both owners must get a
   down and an up event, because frames in the old link are lost.  */
static void
test_silent_link (void)
{
  hubs_t hubs;

  hubs_start (&hubs, HUBS_SECRET);
  hubs_hold_b (&hubs);
  hubs_run_until (&hubs, hubs_are_both_up);
  g_assert_false (is_b_unresponsive (&hubs));
  ev_io_stop (hubs.loop, &hubs_link (&hubs.b, "a")->readable);
  hubs_run_until (&hubs, is_b_unresponsive);
  g_assert_cmpuint (hubs_counters (&hubs.a).silences, ==, 0);
  hubs_run_until (&hubs, is_a_up_again);
  g_assert_false (is_b_unresponsive (&hubs));
  g_assert_cmpuint (hubs_counters (&hubs.a).silences, ==, 1);
  g_assert_cmpuint (hubs_counters (&hubs.b).links_up, ==, 1);
  hubs_end (&hubs);
}

static bool
has_b_got_two (hubs_t *hubs)
{
  return hubs_has_event (&hubs->b, "CANCEL<a CANCEL<a ");
}

static bool
are_both_up_again (hubs_t *hubs)
{
  return hubs_has_event (&hubs->a, "-b/2 +b/2 ")
         && hubs_has_event (&hubs->b, "-a/1 +a/1 ");
}

static bool
has_b_got_one_more (hubs_t *hubs)
{
  return hubs_has_event (&hubs->b, "-a/1 +a/1 CANCEL<a ");
}

/* A request is cancelled after its link was replaced.  The number of a name is
   valid for one link, so the name must be sent as text again on the new one.
   With the number from the old link, the agent would close the new link or
   cancel another request.  */
static void
test_names_of_a_new_link (void)
{
  msg_t cancel = { .kind = MSG_CANCEL, .u.cancel = { "r" } };
  hubs_t hubs;

  hubs_start (&hubs, HUBS_SECRET);
  hubs_hold_b (&hubs);
  hubs_run_until (&hubs, hubs_are_both_up);
  g_assert_true (peer_hub_send (hubs.a.hub, "b", &cancel));
  g_assert_true (peer_hub_send (hubs.a.hub, "b", &cancel));
  hubs_run_until (&hubs, has_b_got_two);
  link_close (hubs_link (&hubs.a, "b"), "end of the test's first link");
  hubs_run_until (&hubs, are_both_up_again);
  g_assert_true (peer_hub_send (hubs.a.hub, "b", &cancel));
  hubs_run_until (&hubs, has_b_got_one_more);
  g_assert_cmpuint (hubs_counters (&hubs.b).frames_bad, ==, 0);
  hubs_end (&hubs);
}

/* During an upgrade a process connects to one without support for short
   frames.  Both must use whole frames; otherwise they would close the link at
   the first frame, and the fleet would be partitioned until all are upgraded.
 */
static void
test_older_peer (void)
{
  msg_t cancel = { .kind = MSG_CANCEL, .u.cancel = { "r" } };
  hubs_t hubs;

  hubs_start (&hubs, HUBS_SECRET);
  hubs.b.hub->short_frames = false;
  hubs.b.sends_ack = true;
  hubs_hold_b (&hubs);
  hubs_run_until (&hubs, hubs_are_both_up);
  g_assert_true (peer_hub_send (hubs.a.hub, "b", &cancel));
  hubs_run_until (&hubs, has_a_got_ack);
  g_assert_cmpuint (hubs_counters (&hubs.a).frames_bad, ==, 0);
  g_assert_cmpuint (hubs_counters (&hubs.b).frames_bad, ==, 0);
  hubs_end (&hubs);
}

static bool
has_a_seen_restart (hubs_t *hubs)
{
  return hubs_has_event (&hubs->a, "+b/2 -b/2 +b/9 ");
}

static void
test_restarted_agent (void)
{
  hubs_t hubs;

  hubs_start (&hubs, HUBS_SECRET);
  hubs_hold_b (&hubs);
  hubs_run_until (&hubs, hubs_are_both_up);
  hubs_node_stop (&hubs.b);
  hubs_node_start (&hubs, &hubs.b, ROLE_AGENT, "b", hubs.address_b, 9,
                   HUBS_SECRET);
  hubs_run_until (&hubs, has_a_seen_restart);
  hubs_end (&hubs);
}

static bool
has_a_seen_successor (hubs_t *hubs)
{
  return hubs_has_event (&hubs->a, "+c/3 -c/3 +c/4 ");
}

/* Router "c" was replaced while its old link to "a" is still up, because its
   old host is only disconnected.  When the new incarnation dials "a", the old
   link must be closed, and its down event come before the new up event.  */
static void
test_replaced_router (void)
{
  hubs_t hubs;

  hubs_start (&hubs, HUBS_SECRET);
  hubs_node_start (&hubs, &hubs.c, ROLE_ROUTER, "c", hubs.address_c, 3,
                   HUBS_SECRET);
  peer_hub_set_address (hubs.c.hub, "a", hubs.address_a);
  peer_hub_hold (hubs.c.hub, "a");
  while (!hubs_has_event (&hubs.a, "+c/3 "))
    ev_run (hubs.loop, EVRUN_ONCE);
  peer_hub_release (hubs.c.hub, "a");
  hubs_node_stop (&hubs.b);
  hubs_node_start (&hubs, &hubs.b, ROLE_ROUTER, "c", hubs.address_b, 4,
                   HUBS_SECRET);
  peer_hub_set_address (hubs.b.hub, "a", hubs.address_a);
  peer_hub_hold (hubs.b.hub, "a");
  hubs_run_until (&hubs, has_a_seen_successor);
  g_assert_cmpuint (hubs_counters (&hubs.a).links_up, ==, 1);
  hubs_end (&hubs);
}

/* An owner sends without checking the pending bytes.  The link must be closed
   when its output is full; no frame may be dropped from a link that stays up.
 */
static void
test_output_is_bounded (void)
{
  static uint8_t bytes[MSG_DATA_MAX];
  msg_t data
      = { .kind = MSG_DATA, .u.data = { "r", 0, 0, { bytes, sizeof bytes } } };
  size_t max_pending = 0;
  hubs_t hubs;

  hubs_start (&hubs, HUBS_SECRET);
  hubs_hold_b (&hubs);
  hubs_run_until (&hubs, hubs_are_both_up);
  while (peer_hub_send (hubs.a.hub, "b", &data))
    max_pending
        = MAX (max_pending, peer_hub_get_pending_bytes (hubs.a.hub, "b"));
  g_assert_cmpuint (max_pending, <=, PEER_MAX_OUTPUT_BYTES);
  g_assert_cmpstr (hubs.a.event_log->str, ==, "+b/2 ");
  hubs_run_until (&hubs, is_a_up_again);
  hubs_end (&hubs);
}

/* ---- supervision of links ---- */

static void
test_watch (void)
{
  static const struct
  {
    const char *name;
    bool is_held;
    int silent_ms;      /* since the last receipt */
    int pinged_ms;      /* since the last PING */
    int unanswered_ms;  /* since the oldest unanswered PING, or 0 */
    int since_check_ms; /* since the last check */
    bool expects_close;
    bool expects_ping;
  } cases[] = {
    { "lively", true, 100, 1000, 0, 100, false, false },
    { "silent for a heartbeat", true, 500, 600, 0, 100, false, true },
    { "just pinged", true, 600, 400, 400, 100, false, false },
    { "silent", true, 2000, 500, 1900, 100, true, false },
    { "silent, not held", false, 2000, 5000, 0, 100, false, false },
    { "idle", false, 30000, 40000, 0, 100, true, false },
    { "idle but held", true, 400, 2000, 0, 100, false, true },
    { "receiving, but PING unanswered", true, 10, 500, 10000, 100, true,
      false },
    { "own process was frozen", true, 9000, 9000, 9000, 9000, false, true },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      peer_link_t *link;
      cfd_time_t now;
      hubs_t hubs;
      size_t pending_before;

      hubs_start (&hubs, HUBS_SECRET);
      hubs_hold_b (&hubs);
      hubs_run_until (&hubs, hubs_are_both_up);
      if (!cases[i].is_held)
        peer_hub_release (hubs.a.hub, "b");
      link = hubs_link (&hubs.a, "b");
      now = clock_now ();
      link->silent_since = now - cases[i].silent_ms;
      link->last_sent = link->silent_since;
      link->last_ping = now - cases[i].pinged_ms;
      link->unanswered_ping_since
          = cases[i].unanswered_ms ? now - cases[i].unanswered_ms : 0;
      hubs.a.hub->last_tick = now - cases[i].since_check_ms;
      pending_before = link_get_pending_bytes (link);
      watch_check_links (hubs.a.hub, now);
      if ((link->state == LINK_CLOSED) != cases[i].expects_close
          || (!cases[i].expects_close
              && (link_get_pending_bytes (link) > pending_before)
                     != cases[i].expects_ping))
        g_error ("%s", cases[i].name);
      hubs_end (&hubs);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  hubs_log_to_test_output ();
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
