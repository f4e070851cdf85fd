#include "wire/test-hubs.h"

#include "base/log.h"
#include <string.h>
#include <unistd.h>

#define STEP_S 0.005
/* A guard against a hang, far above what any case needs.  */
#define GUARD_MS 20000

static void
on_message (void *user, const peer_id_t *peer, const msg_t *message,
            cfd_time_t now)
{
  hubs_node_t *node = user;
  msg_t ack = { .kind = MSG_ACK, .u.ack = { "r", 1, true } };

  g_assert_true (node->up);
  if (node->event != NULL)
    {
      node->event (node, message);
      return;
    }
  g_string_append_printf (node->told, "%s<%s ", msg_kind_name (message->kind),
                          peer->instance);
  if (!node->replies || message->kind != MSG_CANCEL)
    return;
  /* All that an owner may do from inside a callback.  */
  peer_hub_hold (node->hub, peer->instance);
  g_assert_true (peer_hub_send (node->hub, peer->instance, &ack));
  peer_hub_release (node->hub, peer->instance);
}

static void
on_up (void *user, const peer_id_t *peer, cfd_time_t now)
{
  hubs_node_t *node = user;

  g_assert_false (node->up);
  node->up = true;
  node->session++;
  if (node->event != NULL)
    node->event (node, NULL);
  g_string_append_printf (node->told, "+%s/%u ", peer->instance,
                          (unsigned)peer->incarnation);
}

static void
on_down (void *user, const peer_id_t *peer, cfd_time_t now)
{
  hubs_node_t *node = user;
  msg_t message = { .kind = MSG_CANCEL, .u.cancel = { "r" } };

  g_assert_true (node->up);
  node->up = false;
  if (node->event != NULL)
    {
      node->event (node, NULL);
      return;
    }
  g_string_append_printf (node->told, "-%s/%u ", peer->instance,
                          (unsigned)peer->incarnation);
  (void)peer_hub_send (node->hub, peer->instance, &message);
}

void
hubs_node_start (hubs_t *hubs, hubs_node_t *node, role_t role,
                 const char *instance, const char *address,
                 uint64_t incarnation, const char *secret)
{
  static const peer_events_t events
      = { .message = on_message, .up = on_up, .down = on_down };
  peer_hub_options_t self = { .role = role,
                              .instance = instance,
                              .zone = "zone-a",
                              .incarnation = incarnation,
                              .listen = address,
                              .secret = secret };
  g_autoptr (GError) error = NULL;

  if (node->told == NULL)
    node->told = g_string_new (NULL);
  node->hub = peer_hub_new (hubs->loop, &self, NULL, &events, node, &error);
  g_assert_no_error (error);
}

void
hubs_node_stop (hubs_node_t *node)
{
  g_clear_pointer (&node->hub, peer_hub_free);
  node->up = false;
}

static void
hubs_step (struct ev_loop *loop, ev_timer *watcher, int events)
{
  hubs_t *hubs = watcher->data;

  if (hubs->reached == NULL)
    return;
  if (hubs->reached (hubs))
    ev_break (loop, EVBREAK_ALL);
  else if (clock_now () > hubs->until)
    g_error ("not reached; a: %s| b: %s| c: %s", hubs->a.told->str,
             hubs->b.told->str, hubs->c.told ? hubs->c.told->str : "");
}

void
hubs_run_until (hubs_t *hubs, bool (*reached) (hubs_t *))
{
  hubs->reached = reached;
  hubs->until = clock_now () + GUARD_MS;
  ev_run (hubs->loop, 0);
}

/* The loopback address comes from the process id, so that runs of the tests
   side by side don't meet.  */
static void
choose_addresses (hubs_t *hubs)
{
  unsigned id = getpid ();
  g_autofree char *host = g_strdup_printf (
      "127.%u.%u.%u", 64 + (id >> 16) % 64, (id >> 8) % 256, id % 256);

  g_snprintf (hubs->address_a, sizeof hubs->address_a, "%s:7701", host);
  g_snprintf (hubs->address_b, sizeof hubs->address_b, "%s:7702", host);
  g_snprintf (hubs->address_c, sizeof hubs->address_c, "%s:7703", host);
}

void
hubs_start (hubs_t *hubs, const char *secret_of_b)
{
  memset (hubs, 0, sizeof *hubs);
  hubs->raw = -1;
  choose_addresses (hubs);
  hubs->loop = ev_loop_new (EVFLAG_AUTO);
  ev_timer_init (&hubs->step, hubs_step, STEP_S, STEP_S);
  hubs->step.data = hubs;
  ev_timer_start (hubs->loop, &hubs->step);
  hubs_node_start (hubs, &hubs->a, ROLE_ROUTER, "a", hubs->address_a, 1,
                   HUBS_SECRET);
  hubs_node_start (hubs, &hubs->b, ROLE_AGENT, "b", hubs->address_b, 2,
                   secret_of_b);
}

void
hubs_hold_b (hubs_t *hubs)
{
  peer_hub_set_address (hubs->a.hub, "b", hubs->address_b);
  peer_hub_hold (hubs->a.hub, "b");
}

void
hubs_end (hubs_t *hubs)
{
  hubs_node_t *nodes[] = { &hubs->a, &hubs->b, &hubs->c };

  for (unsigned i = 0; i < G_N_ELEMENTS (nodes); i++)
    {
      hubs_node_stop (nodes[i]);
      if (nodes[i]->told != NULL)
        g_string_free (nodes[i]->told, TRUE);
    }
  if (hubs->raw >= 0)
    close (hubs->raw);
  ev_timer_stop (hubs->loop, &hubs->step);
  ev_loop_destroy (hubs->loop);
}

bool
hubs_told (const hubs_node_t *node, const char *text)
{
  return strstr (node->told->str, text) != NULL;
}

bool
hubs_both_up (hubs_t *hubs)
{
  return hubs_told (&hubs->a, "+b/2 ") && hubs_told (&hubs->b, "+a/1 ");
}

peer_counters_t
hubs_counters (const hubs_node_t *node)
{
  peer_counters_t counted;

  peer_hub_get_counters (node->hub, &counted);
  return counted;
}

peer_link_t *
hubs_link (const hubs_node_t *node, const char *instance)
{
  return peer_newest (hub_peer (node->hub, instance));
}

static void
note_line (void *user, const char *line)
{
  g_test_message ("%s", line);
}

void
hubs_log_as_notes (void)
{
  log_set_sink (note_line, NULL);
}
