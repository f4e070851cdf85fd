/* Random faults on one held link between a router and an agent: broken
   connections, connections that go silent, restarts, a frozen process.  What
   must hold on both sides, whatever happens: ups and downs alternate; between
   an up and the next down the frames of the other side come whole, in order
   and once.  So an owner that starts anew after each down misses nothing.  */

#include "wire/test-hubs.h"

#include <sys/socket.h>

#define STEPS 4000
#define ROUNDS 4 /* of the loop, in each step */
#define MOST_FRAMES 4

/* A node's own view: the sequence it must get next, or 0 after an up, when
   any is good.  */
static void
check_event (hubs_node_t *node, const msg_t *message)
{
  if (message == NULL)
    {
      node->seen = 0;
      return;
    }
  g_assert_cmpint (message->kind, ==, MSG_CONFIG_ASK);
  if (node->seen != 0)
    g_assert_cmpuint (message->u.config_ask.have, ==, node->seen + 1);
  node->seen = message->u.config_ask.have;
}

static void
send_some (hubs_node_t *node, const char *to, GRand *random)
{
  int count = g_rand_int_range (random, 0, MOST_FRAMES);

  for (int i = 0; i < count; i++)
    {
      msg_t message
          = { .kind = MSG_CONFIG_ASK, .u.config_ask = { node->next + 1 } };

      if (peer_hub_send (node->hub, to, &message))
        node->next++;
    }
}

/* The connection goes silent for good: neither side gets an error.  */
static void
silence (hubs_t *hubs, peer_link_t *link)
{
  ev_io_stop (hubs->loop, &link->readable);
  ev_io_stop (hubs->loop, &link->writable);
  if (peer_hub_is_up (hubs->a.hub, "b"))
    hubs_link (&hubs->a, "b")->quiet_since -= PEER_SILENCE_TIMEOUT_MS;
}

static void
restart_b (hubs_t *hubs, GRand *random)
{
  uint64_t incarnation = g_rand_int (random) | 1u;

  hubs_node_stop (&hubs->b);
  hubs->b.seen = 0;
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
    node->hub->ticked -= 10 * PEER_FROZEN_MS;
  if (fault > 4 || !peer_hub_is_up (node->hub, other))
    return;
  if (fault == 2)
    shutdown (hubs_link (node, other)->fd, SHUT_RDWR);
  if (fault == 3)
    silence (hubs, hubs_link (node, other));
  if (fault == 4)
    link_close (hubs_link (node, other), "fault");
}

/* Time without waiting: the next tick comes now, and dials at once.  */
static void
run_rounds (hubs_t *hubs)
{
  hub_peer (hubs->a.hub, "b")->next_dial = 0;
  ev_feed_event (hubs->loop, &hubs->a.hub->tick, EV_TIMER);
  ev_feed_event (hubs->loop, &hubs->b.hub->tick, EV_TIMER);
  for (int i = 0; i < ROUNDS; i++)
    ev_run (hubs->loop, EVRUN_NOWAIT);
}

static bool
both_saw_all (hubs_t *hubs)
{
  hub_peer (hubs->a.hub, "b")->next_dial = 0;
  return hubs->a.seen != 0 && hubs->a.seen == hubs->b.next && hubs->b.seen != 0
         && hubs->b.seen == hubs->a.next;
}

static bool
both_are_up (hubs_t *hubs)
{
  hub_peer (hubs->a.hub, "b")->next_dial = 0;
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
  hubs.a.event = check_event;
  hubs.b.event = check_event;
  hubs_hold_b (&hubs);
  for (int step = 0; step < STEPS; step++)
    {
      send_some (&hubs.a, "b", random);
      send_some (&hubs.b, "a", random);
      inject_fault (&hubs, random);
      run_rounds (&hubs);
    }
  /* Without faults it heals, and what is sent then arrives.  */
  hubs_run_until (&hubs, both_are_up);
  do
    {
      hubs_run_until (&hubs, both_are_up);
      message.u.config_ask.have = hubs.a.next + 1;
    }
  while (!peer_hub_send (hubs.a.hub, "b", &message));
  hubs.a.next++;
  message.u.config_ask.have = ++hubs.b.next;
  g_assert_true (peer_hub_send (hubs.b.hub, "a", &message));
  hubs_run_until (&hubs, both_saw_all);
  g_test_message ("sessions of a: %u, frames of a: %u", hubs.a.session,
                  (unsigned)hubs.a.next);
  g_assert_cmpuint (hubs.a.session, >, 10);
  hubs_end (&hubs);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  hubs_log_as_notes ();
  for (unsigned seed = 1; seed <= 5; seed++)
    {
      g_autofree char *path = g_strdup_printf ("/peer-random/seed-%u", seed);

      g_test_add_data_func (path, GUINT_TO_POINTER (seed), test_seed);
    }
  return g_test_run ();
}
