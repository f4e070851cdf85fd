/* Random faults on a held link between a router and an agent: broken and
   hanging connections, restarts, a frozen process.  On both sides up and down
   events must alternate, and between an up and the next down the frames of the
   other side must arrive completely, in order and once.  An owner that sends
   its state again after each down event then misses nothing.  */

#include "wire/test-hubs.h"

#include <sys/socket.h>

#define STEPS 4000
#define ROUNDS 4 /* iterations of the event loop in each step */
#define MAX_FRAMES 4

/* Checks that NODE gets consecutive sequence numbers; after an up or down
   event, which resets LAST_RECEIVED to 0, any number is valid.  */
static void
check_sequence (hubs_node_t *node, const msg_t *message)
{
  if (message == NULL)
    {
      node->last_received = 0;
      return;
    }
  g_assert_cmpint (message->kind, ==, MSG_CONFIG_ASK);
  if (node->last_received != 0)
    g_assert_cmpuint (message->u.config_ask.have, ==, node->last_received + 1);
  node->last_received = message->u.config_ask.have;
}

static void
send_random_frames (hubs_node_t *node, const char *to, GRand *random)
{
  int count = g_rand_int_range (random, 0, MAX_FRAMES);

  for (int i = 0; i < count; i++)
    {
      msg_t message = { .kind = MSG_CONFIG_ASK,
                        .u.config_ask = { node->last_sequence + 1 } };

      if (peer_hub_send (node->hub, to, &message))
        node->last_sequence++;
    }
}

/* Makes the connection hang for good, without an error on either side.  */
static void
silence_link (hubs_t *hubs, peer_link_t *link)
{
  ev_io_stop (hubs->loop, &link->readable);
  ev_io_stop (hubs->loop, &link->writable);
  if (peer_hub_is_up (hubs->a.hub, "b"))
    hubs_link (&hubs->a, "b")->silent_since -= PEER_SILENCE_TIMEOUT_MS;
}

static void
restart_b (hubs_t *hubs, GRand *random)
{
  uint64_t incarnation = g_rand_int (random) | 1u;

  hubs_node_stop (&hubs->b);
  hubs->b.last_received = 0;
  hubs_node_start (hubs, &hubs->b, ROLE_AGENT, "b", hubs->address_b,
                   incarnation, HUBS_SECRET);
}

static void
inject_fault (hubs_t *hubs, GRand *random)
{
  bool at_a = g_rand_boolean (random);
  hubs_node_t *node = at_a ? &hubs->a : &hubs->b;
  const char *other = at_a ? "b" : "a";
  int fault = g_rand_int_range (random, 0, 100);

  if (fault == 0)
    restart_b (hubs, random);
  if (fault == 1)
    node->hub->last_tick -= 10 * PEER_FREEZE_THRESHOLD_MS;
  if (fault > 4 || !peer_hub_is_up (node->hub, other))
    return;
  if (fault == 2)
    shutdown (hubs_link (node, other)->fd, SHUT_RDWR);
  if (fault == 3)
    silence_link (hubs, hubs_link (node, other));
  if (fault == 4)
    link_close (hubs_link (node, other), "fault");
}

/* Runs the next tick, and dials, without waiting.  */
static void
run_rounds (hubs_t *hubs)
{
  hub_get_or_add_peer (hubs->a.hub, "b")->next_dial = 0;
  ev_feed_event (hubs->loop, &hubs->a.hub->tick_timer, EV_TIMER);
  ev_feed_event (hubs->loop, &hubs->b.hub->tick_timer, EV_TIMER);
  for (int i = 0; i < ROUNDS; i++)
    ev_run (hubs->loop, EVRUN_NOWAIT);
}

static bool
have_both_received_all (hubs_t *hubs)
{
  hub_get_or_add_peer (hubs->a.hub, "b")->next_dial = 0;
  return hubs->a.last_received != 0
         && hubs->a.last_received == hubs->b.last_sequence
         && hubs->b.last_received != 0
         && hubs->b.last_received == hubs->a.last_sequence;
}

static bool
are_both_up (hubs_t *hubs)
{
  hub_get_or_add_peer (hubs->a.hub, "b")->next_dial = 0;
  return peer_hub_is_up (hubs->a.hub, "b")
         && peer_hub_is_up (hubs->b.hub, "a");
}

static void
test_seed (gconstpointer data)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (GPOINTER_TO_UINT (data));
  msg_t message = { .kind = MSG_CONFIG_ASK };
  hubs_t hubs;

  hubs_start (&hubs, HUBS_SECRET);
  hubs.a.event = check_sequence;
  hubs.b.event = check_sequence;
  hubs_hold_b (&hubs);
  for (int step = 0; step < STEPS; step++)
    {
      send_random_frames (&hubs.a, "b", random);
      send_random_frames (&hubs.b, "a", random);
      inject_fault (&hubs, random);
      run_rounds (&hubs);
    }
  /* Without further faults the link recovers, and messages arrive.  */
  hubs_run_until (&hubs, are_both_up);
  do
    {
      hubs_run_until (&hubs, are_both_up);
      message.u.config_ask.have = hubs.a.last_sequence + 1;
    }
  while (!peer_hub_send (hubs.a.hub, "b", &message));
  hubs.a.last_sequence++;
  message.u.config_ask.have = ++hubs.b.last_sequence;
  g_assert_true (peer_hub_send (hubs.b.hub, "a", &message));
  hubs_run_until (&hubs, have_both_received_all);
  g_test_message ("sessions of a: %u, frames of a: %u", hubs.a.session_count,
                  (unsigned)hubs.a.last_sequence);
  g_assert_cmpuint (hubs.a.session_count, >, 10);
  hubs_end (&hubs);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  hubs_log_to_test_output ();
  for (unsigned seed = 1; seed <= 5; seed++)
    {
      g_autofree char *path = g_strdup_printf ("/peer-random/seed-%u", seed);

      g_test_add_data_func (path, GUINT_TO_POINTER (seed), test_seed);
    }
  return g_test_run ();
}
