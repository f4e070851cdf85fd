/* Configuration exchange of a router in a fleet of 40, with some of the
   others, an agent and the platform simulated by the test.  */

#include "base/log.h"
#include "config/store-impl.h"
#include "router/router-private.h"
#include "sp-test.h"

#include <stdio.h>
#include <unistd.h>

#define ROUTERS 40u
/* By the hashes of these names SELF does not watch the platform, has ABOVE
   above and BELOW below it in the distribution tree, and notifies AGENT.  */
#define SELF "router-12"
#define ABOVE "router-25"
#define BELOW "router-23"
#define AGENT "agent-2"
#define PORT_LINK 8000u
#define ZONE "availability-zone"
#define OUT "{\"schema\":2,\"state\":\"out\"}"
/* Time limit for a change to be in force everywhere.  */
#define IN_FORCE_MS 12000
/* Records of a whole state that is sent in many parts.  */
#define MANY 40u

typedef struct
{
  peer_hub_t *hub;
  store_t *store;
  uint64_t shown_revision; /* newest revision in a frame of the router */
} fake_peer_t;

typedef struct
{
  sp_test_t test;
  struct ev_loop *frozen_loop; /* never run */
  char host[24];
  cfd_router_t *router;
  GHashTable *fake_peers; /* name to fake_peer_t */
} fixture_t;

/* ---- simulated peers ---- */

static void
on_message (void *user, const peer_id_t *peer, const msg_t *message,
            cfd_time_t now)
{
  fake_peer_t *node = user;
  msg_t answer = { .kind = MSG_CONFIG_PART };

  node->shown_revision = MAX (node->shown_revision, message->revision);
  if (message->kind != MSG_CONFIG_ASK)
    return;
  store_make_part (node->store, peer->role, &message->u.config_ask,
                   clock_now (), &answer.u.config_part);
  (void)peer_hub_send (node->hub, peer->instance, &answer);
  store_part_clear (&answer.u.config_part);
}

static void
on_link (void *user, const peer_id_t *peer, cfd_time_t now)
{
}

static uint64_t
on_revision (void *user)
{
  return store_get_revision (((fake_peer_t *)user)->store);
}

/* Loads the platform's current state into NODE.  */
static void
load_from_platform (fixture_t *f, fake_peer_t *node)
{
  g_autofree char *text
      = sp_model_list (sp_get_model (f->test.sp), PLAT_CONFIG_KINDS);
  g_autoptr (JsonNode) root = json_from_string (text, NULL);

  store_apply_objects (node->store, json_node_get_object (root), clock_now ());
}

/* Returns the port of "router-N" or "agent-N".  */
static unsigned
port_of (const char *name)
{
  return PORT_LINK + (unsigned)atoi (strchr (name, '-') + 1)
         + (name[0] == 'a' ? ROUTERS : 0);
}

static char *
address (const fixture_t *f, const char *name)
{
  return g_strdup_printf ("%s:%u", f->host, port_of (name));
}

/* Starts a simulated peer NAME with the platform's current state.  */
static fake_peer_t *
start_peer (fixture_t *f, const char *name, struct ev_loop *loop)
{
  static const peer_events_t events = { .message = on_message,
                                        .up = on_link,
                                        .down = on_link,
                                        .revision = on_revision };
  g_autofree char *listen = address (f, name);
  g_autofree char *router = address (f, SELF);
  const peer_hub_options_t self
      = { .role = name[0] == 'a' ? ROLE_AGENT : ROLE_ROUTER,
          .instance = name,
          .zone = "z",
          .incarnation = port_of (name),
          .listen = listen,
          .secret = "secret" };
  fake_peer_t *node = g_new0 (fake_peer_t, 1);

  node->store = store_new (NULL, NULL, NULL);
  store_set_self (node->store, self.role, name);
  load_from_platform (f, node);
  node->hub = peer_hub_new (loop, &self, NULL, &events, node, NULL);
  g_assert_nonnull (node->hub);
  peer_hub_set_address (node->hub, SELF, router);
  g_hash_table_insert (f->fake_peers, g_strdup (name), node);
  return node;
}

static void
start_other_routers (fixture_t *f)
{
  for (unsigned i = 0; i < ROUTERS; i++)
    {
      g_autofree char *name = g_strdup_printf ("router-%u", i);

      if (!g_str_equal (name, SELF)
          && !g_hash_table_contains (f->fake_peers, name))
        (void)start_peer (f, name, f->test.loop);
    }
}

/* Shows NODE's newer revision to the router.  */
static void
show_revision (fixture_t *f, fake_peer_t *node)
{
  msg_t message = { .kind = MSG_CONFIG_ASK };

  message.u.config_ask.have = store_get_revision (node->store);
  while (!peer_hub_send (node->hub, SELF, &message))
    ev_run (f->test.loop, EVRUN_ONCE);
}

static void
fake_peer_free (gpointer pointer)
{
  fake_peer_t *node = pointer;

  peer_hub_free (node->hub);
  store_free (node->store);
  g_free (node);
}

/* ---- fixture ---- */

static void
publish_instances (fixture_t *f)
{
  g_autoptr (GString) text = g_string_new (
      "[{\"name\":\"" AGENT "\",\"role\":\"agent\",\"zone\":\"z\",");
  g_autofree char *agent = address (f, AGENT);

  g_string_append_printf (text, "\"address\":\"%s\"}", agent);
  for (unsigned i = 0; i < ROUTERS; i++)
    g_string_append_printf (text,
                            ",{\"name\":\"router-%u\",\"role\":\"router\","
                            "\"zone\":\"z\",\"address\":\"%s:%u\"}",
                            i, f->host, PORT_LINK + i);
  g_string_append_c (text, ']');
  sp_set_instances (f->test.sp, text->str);
}

static void
set_up (fixture_t *f, gconstpointer data)
{
  unsigned pid = (unsigned)getpid ();

  sp_test_setup (&f->test);
  f->frozen_loop = ev_loop_new (0);
  f->fake_peers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         fake_peer_free);
  snprintf (f->host, sizeof f->host, "127.%u.%u.%u", 200 + (pid >> 16) % 50,
            (pid >> 8) % 256, pid % 256);
  publish_instances (f);
  sp_test_write_object (&f->test, ZONE, "z",
                        "{\"schema\":2,\"state\":\"in\"}");
  sp_test_write_object (&f->test, "client-account", "acc",
                        "{\"schema\":2,\"weight\":1,\"keys\":[]}");
}

static bool
has_started (void *user)
{
  const store_t *store = ((fixture_t *)user)->router->store;

  return store_get_revision (store) > 0 && store_is_fleet_large (store);
}

/* Starts the router, then makes the platform unreachable.  */
static void
start_router (fixture_t *f)
{
  g_autofree char *peers = address (f, SELF);
  g_autofree char *callers = g_strconcat (f->host, ":8100", NULL);
  g_autofree char *admin = g_strconcat (f->host, ":8101", NULL);
  cfd_settings_t settings = { .instance = (char *)SELF,
                              .zone = (char *)"z",
                              .platform = f->test.url,
                              .peer_listen = peers,
                              .admin_listen = admin,
                              .listen = callers,
                              .secret = (char *)"secret",
                              .request_s = 10,
                              .drain_s = 1 };

  f->router = cfd_router_new (f->test.loop, &settings, NULL);
  g_assert_nonnull (f->router);
  sp_test_run_until (&f->test, has_started, f);
  g_assert_cmpstr (spread_tree_choose_source (f->router->tree, 0), ==, ABOVE);
  sp_set_fault (f->test.sp, SP_DOWN, 0, 0);
}

static void
tear_down (fixture_t *f, gconstpointer data)
{
  cfd_router_free (f->router);
  g_hash_table_unref (f->fake_peers);
  ev_loop_destroy (f->frozen_loop);
  sp_test_teardown (&f->test);
}

static bool
has_change (void *user)
{
  return store_get_revision (((fixture_t *)user)->router->store) >= 3;
}

/* Returns the milliseconds until HOLDS.  */
static cfd_time_t
run_until (fixture_t *f, bool (*holds) (void *user))
{
  cfd_time_t start = clock_now ();

  sp_test_run_until (&f->test, holds, f);
  return clock_now () - start;
}

/* ---- test cases ---- */

typedef enum
{
  ABOVE_DEAD,
  ABOVE_FROZEN,
  ABOVE_BEHIND
} above_state_t;

static void
test_above (fixture_t *f, gconstpointer data)
{
  /* A zone is taken out, the change reaches all other routers, and the
     platform goes down.  The router above this one, which is to notify it, is
     dead, or frozen with its port open, or answers with its older revision.
     This router must turn to another one, or the zone stays in here for as
     long as that lasts.  */
  above_state_t above = (above_state_t)GPOINTER_TO_INT (data);

  if (above != ABOVE_DEAD)
    (void)start_peer (f, ABOVE,
                      above == ABOVE_FROZEN ? f->frozen_loop : f->test.loop);
  start_router (f);
  sp_test_write_object (&f->test, ZONE, "z", OUT);
  start_other_routers (f);
  if (above == ABOVE_DEAD)
    g_hash_table_remove (f->fake_peers, ABOVE);
  g_assert_cmpint (run_until (f, has_change), <, IN_FORCE_MS);
  g_assert_true (store_is_zone_out (f->router->store, "z"));
}

static bool
below_was_notified (void *user)
{
  fake_peer_t *below
      = g_hash_table_lookup (((fixture_t *)user)->fake_peers, BELOW);

  return below->shown_revision >= 3;
}

static void
test_half_spread (fixture_t *f, gconstpointer data)
{
  /* The platform goes down when a change has reached the router above.  The
     change must continue down the tree all the same, at once.  */
  (void)start_peer (f, BELOW, f->test.loop);
  start_router (f);
  sp_test_write_object (&f->test, ZONE, "z", OUT);
  show_revision (f, start_peer (f, ABOVE, f->test.loop));
  g_assert_cmpint (run_until (f, below_was_notified), <,
                   SPREAD_ASK_PEER_AFTER_MS);
  g_assert_true (store_is_zone_out (f->router->store, "z"));
}

static void
test_agent_ahead (fixture_t *f, gconstpointer data)
{
  /* Only an agent has a revision in which an account is deleted, and agents do
     not store accounts.  The router must neither wait for its peers, which are
     as old as itself, nor take the agent's state as complete: it reads the
     platform, earlier than the 8 s after which it would do so in any case.  */
  (void)start_peer (f, ABOVE, f->test.loop);
  start_router (f);
  start_other_routers (f);
  sp_test_write_object (&f->test, "client-account", "acc", NULL);
  (void)start_peer (f, AGENT, f->test.loop);
  sp_set_fault (f->test.sp, SP_UP, 0, 0);
  g_assert_cmpint (run_until (f, has_change), <,
                   SPREAD_READ_PLATFORM_AFTER_MS - 1000);
  g_assert_null (store_get (f->router->store, REC_ACCOUNT, "acc"));
}

static void
test_older_platform (fixture_t *f, gconstpointer data)
{
  /* A router starts and reads the platform from a replica that lags behind the
     revision in force at its peers, where the zone is still in.  Notified by
     the router above, it takes the zone out, and the replica must not bring it
     back.  */
  cfd_time_t end;

  g_usleep (300000);
  sp_test_write_object (&f->test, ZONE, "z", OUT);
  (void)start_peer (f, ABOVE, f->test.loop);
  sp_set_fault (f->test.sp, SP_STALE_READS, 0, 200);
  start_router (f);
  g_assert_false (store_is_zone_out (f->router->store, "z"));
  sp_set_fault (f->test.sp, SP_STALE_READS, 0, 100000000);
  show_revision (f, g_hash_table_lookup (f->fake_peers, ABOVE));
  g_assert_cmpint (run_until (f, has_change), <, SPREAD_ASK_PEER_AFTER_MS);
  end = clock_now () + 1500;
  while (clock_now () < end)
    ev_run (f->test.loop, EVRUN_ONCE);
  g_assert_true (store_is_zone_out (f->router->store, "z"));
}

static bool
has_many (void *user)
{
  return store_get_revision (((fixture_t *)user)->router->store) >= 2 + MANY;
}

static void
test_pieces (fixture_t *f, gconstpointer data)
{
  /* The platform is down, and the router above has a newer state than this
     one, which it sends in 11 parts.  This router must ask for each part when
     the previous one has arrived; otherwise each takes one of its periodic
     asks, at most one a second.  The former takes up to 2 ms with twelve
     concurrent runs, the latter more than 30 s, so the bound has margin on
     both sides.  */
  fake_peer_t *above;

  start_router (f);
  for (unsigned i = 0; i < MANY; i++)
    {
      g_autofree char *name = g_strdup_printf ("z%u", i);

      sp_test_write_object (&f->test, ZONE, name, OUT);
    }
  above = start_peer (f, ABOVE, f->test.loop);
  above->store->deletions_known_from = 2 + MANY;
  above->store->max_piece_records = 4;
  show_revision (f, above);
  g_assert_cmpint (run_until (f, has_many), <, SPREAD_ASK_PEER_AFTER_MS);
  g_assert_true (store_is_zone_out (f->router->store, "z0"));
  g_assert_nonnull (store_get (f->router->store, REC_ACCOUNT, "acc"));
}

static void
add_test (const char *path, void (*test) (fixture_t *, gconstpointer),
          int data)
{
  g_test_add (path, fixture_t, GINT_TO_POINTER (data), set_up, test,
              tear_down);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  log_setup ("test", LOG_ERROR, false);
  add_test ("/router-config/above-dead", test_above, ABOVE_DEAD);
  add_test ("/router-config/above-frozen", test_above, ABOVE_FROZEN);
  add_test ("/router-config/above-behind", test_above, ABOVE_BEHIND);
  add_test ("/router-config/half-spread", test_half_spread, 0);
  add_test ("/router-config/agent-ahead", test_agent_ahead, 0);
  add_test ("/router-config/pieces", test_pieces, 0);
  add_test ("/router-config/older-platform", test_older_platform, 0);
  return g_test_run ();
}
