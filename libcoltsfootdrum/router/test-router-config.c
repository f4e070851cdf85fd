/* A router that learns its configuration from peers: one of 40, of which the
   test plays some, with an agent and the platform's stand-in.  */

#include "base/log.h"
#include "config/store-impl.h"
#include "router/router-private.h"
#include "sp-test.h"

#include <stdio.h>
#include <unistd.h>

#define ROUTERS 40u
/* By their hashes: SELF doesn't watch, has a router above and one below it,
   and tells the agent.  */
#define SELF "router-12"
#define ABOVE "router-25"
#define BELOW "router-23"
#define AGENT "agent-2"
#define PORT_LINK 8000u
#define ZONE "availability-zone"
#define OUT "{\"schema\":2,\"state\":\"out\"}"
/* A change must be in force everywhere within this time.  */
#define IN_FORCE_MS 12000
/* Records of a whole state that comes in many pieces.  */
#define MANY 40u

typedef struct
{
  peer_hub_t *hub;
  store_t *store;
  uint64_t shown; /* newest revision that the router showed it */
} node_t;

typedef struct
{
  sp_test_t test;
  struct ev_loop *frozen; /* never run */
  char net[24];
  cfd_router_t *router;
  GHashTable *nodes; /* of node_t by name */
} fixture_t;

/* ---- played peers ---- */

static void
on_message (void *user, const peer_id_t *peer, const msg_t *message,
            cfd_time_t now)
{
  node_t *node = user;
  msg_t answer = { .kind = MSG_CONFIG_PART };

  node->shown = MAX (node->shown, message->revision);
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
  return store_get_revision (((node_t *)user)->store);
}

/* NODE learns what the platform has now.  */
static void
learn (fixture_t *f, node_t *node)
{
  g_autofree char *text
      = sp_model_list (sp_get_model (f->test.sp), PLAT_CONFIG_KINDS);
  g_autoptr (JsonNode) root = json_from_string (text, NULL);

  store_apply_objects (node->store, json_node_get_object (root), clock_now ());
}

/* The port of "router-N" or "agent-N".  */
static unsigned
port_of (const char *name)
{
  return PORT_LINK + (unsigned)atoi (strchr (name, '-') + 1)
         + (name[0] == 'a' ? ROUTERS : 0);
}

static char *
address (const fixture_t *f, const char *name)
{
  return g_strdup_printf ("%s:%u", f->net, port_of (name));
}

/* Plays NAME with what the platform has now.  */
static node_t *
play (fixture_t *f, const char *name, struct ev_loop *loop)
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
  node_t *node = g_new0 (node_t, 1);

  node->store = store_new (NULL, NULL, NULL);
  store_set_self (node->store, self.role, name);
  learn (f, node);
  node->hub = peer_hub_new (loop, &self, NULL, &events, node, NULL);
  g_assert_nonnull (node->hub);
  peer_hub_set_address (node->hub, SELF, router);
  g_hash_table_insert (f->nodes, g_strdup (name), node);
  return node;
}

static void
play_others (fixture_t *f)
{
  for (unsigned i = 0; i < ROUTERS; i++)
    {
      g_autofree char *name = g_strdup_printf ("router-%u", i);

      if (!g_str_equal (name, SELF) && !g_hash_table_contains (f->nodes, name))
        (void)play (f, name, f->test.loop);
    }
}

/* NODE tells the router that it is ahead.  */
static void
tell (fixture_t *f, node_t *node)
{
  msg_t message = { .kind = MSG_CONFIG_ASK };

  message.u.config_ask.have = store_get_revision (node->store);
  while (!peer_hub_send (node->hub, SELF, &message))
    ev_run (f->test.loop, EVRUN_ONCE);
}

static void
node_free (gpointer pointer)
{
  node_t *node = pointer;

  peer_hub_free (node->hub);
  store_free (node->store);
  g_free (node);
}

/* ---- the scene ---- */

static void
list (fixture_t *f)
{
  g_autoptr (GString) text = g_string_new (
      "[{\"name\":\"" AGENT "\",\"role\":\"agent\",\"zone\":\"z\",");
  g_autofree char *agent = address (f, AGENT);

  g_string_append_printf (text, "\"address\":\"%s\"}", agent);
  for (unsigned i = 0; i < ROUTERS; i++)
    g_string_append_printf (text,
                            ",{\"name\":\"router-%u\",\"role\":\"router\","
                            "\"zone\":\"z\",\"address\":\"%s:%u\"}",
                            i, f->net, PORT_LINK + i);
  g_string_append_c (text, ']');
  sp_set_instances (f->test.sp, text->str);
}

static void
set_up (fixture_t *f, gconstpointer data)
{
  unsigned pid = (unsigned)getpid ();

  sp_test_setup (&f->test);
  f->frozen = ev_loop_new (0);
  f->nodes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, node_free);
  snprintf (f->net, sizeof f->net, "127.%u.%u.%u", 200 + (pid >> 16) % 50,
            (pid >> 8) % 256, pid % 254 + 1);
  list (f);
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

/* The router starts, and the platform goes down.  */
static void
start_router (fixture_t *f)
{
  g_autofree char *peers = address (f, SELF);
  g_autofree char *callers = g_strconcat (f->net, ":8100", NULL);
  g_autofree char *admin = g_strconcat (f->net, ":8101", NULL);
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
  g_hash_table_unref (f->nodes);
  ev_loop_destroy (f->frozen);
  sp_test_teardown (&f->test);
}

static bool
has_change (void *user)
{
  return store_get_revision (((fixture_t *)user)->router->store) >= 3;
}

/* Milliseconds until HOLDS.  */
static cfd_time_t
until (fixture_t *f, bool (*holds) (void *user))
{
  cfd_time_t start = clock_now ();

  sp_test_run_until (&f->test, holds, f);
  return clock_now () - start;
}

/* ---- the cases ---- */

typedef enum
{
  ABOVE_DEAD,
  ABOVE_FROZEN,
  ABOVE_BEHIND
} above_t;

static void
test_above (fixture_t *f, gconstpointer data)
{
  /* A zone is taken out, the word comes to all other routers, and the platform
     goes down.  The router above this one, which is to tell it, is dead, or
     frozen with its port open, or answers with what it knew before.  This one
     must turn to another, or the zone stays in here as long as that lasts.  */
  above_t above = (above_t)GPOINTER_TO_INT (data);

  if (above != ABOVE_DEAD)
    (void)play (f, ABOVE, above == ABOVE_FROZEN ? f->frozen : f->test.loop);
  start_router (f);
  sp_test_write_object (&f->test, ZONE, "z", OUT);
  play_others (f);
  if (above == ABOVE_DEAD)
    g_hash_table_remove (f->nodes, ABOVE);
  g_assert_cmpint (until (f, has_change), <, IN_FORCE_MS);
  g_assert_true (store_is_zone_out (f->router->store, "z"));
}

static bool
below_was_told (void *user)
{
  node_t *below = g_hash_table_lookup (((fixture_t *)user)->nodes, BELOW);

  return below->shown >= 3;
}

static void
test_half_spread (fixture_t *f, gconstpointer data)
{
  /* The platform goes down when a change has come as far as the router above.
     It must go on down the tree all the same, at once.  */
  (void)play (f, BELOW, f->test.loop);
  start_router (f);
  sp_test_write_object (&f->test, ZONE, "z", OUT);
  tell (f, play (f, ABOVE, f->test.loop));
  g_assert_cmpint (until (f, below_was_told), <, SPREAD_ASK_PEER_AFTER_MS);
  g_assert_true (store_is_zone_out (f->router->store, "z"));
}

static void
test_agent_ahead (fixture_t *f, gconstpointer data)
{
  /* Only an agent has heard that an account is gone, and it has no accounts to
     tell of.  The router must neither wait for its peers, which are as old as
     itself, nor take the agent's word for the whole: it reads the platform.
     Before, it would do so 8 s after its last word.  */
  (void)play (f, ABOVE, f->test.loop);
  start_router (f);
  play_others (f);
  sp_test_write_object (&f->test, "client-account", "acc", NULL);
  (void)play (f, AGENT, f->test.loop);
  sp_set_fault (f->test.sp, SP_UP, 0, 0);
  g_assert_cmpint (until (f, has_change), <,
                   SPREAD_READ_PLATFORM_AFTER_MS - 1000);
  g_assert_null (store_get (f->router->store, REC_ACCOUNT, "acc"));
}

static void
test_older_platform (fixture_t *f, gconstpointer data)
{
  /* A router starts anew and reads the platform from a replica that lags
     behind what its peers have in force: the zone is in there.  Told by the
     one above it takes the zone out, and the replica must not bring it back.
   */
  cfd_time_t end;

  g_usleep (300000);
  sp_test_write_object (&f->test, ZONE, "z", OUT);
  (void)play (f, ABOVE, f->test.loop);
  sp_set_fault (f->test.sp, SP_STALE_READS, 0, 200);
  start_router (f);
  g_assert_false (store_is_zone_out (f->router->store, "z"));
  sp_set_fault (f->test.sp, SP_STALE_READS, 0, 100000000);
  tell (f, g_hash_table_lookup (f->nodes, ABOVE));
  g_assert_cmpint (until (f, has_change), <, SPREAD_ASK_PEER_AFTER_MS);
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
  /* The platform is down, and the router above has a newer list than this one:
     its whole state comes in 11 pieces.  This one must ask for each when the
     one before has come, or it takes an ask of its own, one a second at most.
     Twelve runs at once took 2 ms at most, without it 30 s were not enough:
     the bound is far from both.  */
  node_t *above;

  start_router (f);
  for (unsigned i = 0; i < MANY; i++)
    {
      g_autofree char *name = g_strdup_printf ("z%u", i);

      sp_test_write_object (&f->test, ZONE, name, OUT);
    }
  above = play (f, ABOVE, f->test.loop);
  above->store->deletions_known_from = 2 + MANY;
  above->store->max_piece_records = 4;
  tell (f, above);
  g_assert_cmpint (until (f, has_many), <, SPREAD_ASK_PEER_AFTER_MS);
  g_assert_true (store_is_zone_out (f->router->store, "z0"));
  g_assert_nonnull (store_get (f->router->store, REC_ACCOUNT, "acc"));
}

static void
add (const char *path, void (*test) (fixture_t *, gconstpointer), int data)
{
  g_test_add (path, fixture_t, GINT_TO_POINTER (data), set_up, test,
              tear_down);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  log_setup ("test", LOG_ERROR, false);
  add ("/router-config/above-dead", test_above, ABOVE_DEAD);
  add ("/router-config/above-frozen", test_above, ABOVE_FROZEN);
  add ("/router-config/above-behind", test_above, ABOVE_BEHIND);
  add ("/router-config/half-spread", test_half_spread, 0);
  add ("/router-config/agent-ahead", test_agent_ahead, 0);
  add ("/router-config/pieces", test_pieces, 0);
  add ("/router-config/older-platform", test_older_platform, 0);
  return g_test_run ();
}
