/* Which router is the home of an account: those that can be reached and
   answer, as this router sees it.  */

#include "router/router-private.h"

#include "base/pair.h"

#include <string.h>
#include <xxhash.h>

/* A home that could not be reached for so long is passed over, until there is
   a link.  */
#define MISSING_MS 500
/* A home answers each report that comes TOLD_SILENCE_MS after its last answer
   or later; one that did not for so long is cut off or frozen, and is passed
   over until an answer or a new link comes.  The link's own watch on silence
   takes 2 s, in which each router of an account would know but its own part.
   Both together are 750 ms, many times the way between regions and what a busy
   home takes.  */
#define ANSWER_MS 500
/* Until then, an answer that is so late is taken for one that may not come:
   accounts go on as if their other routers gave what they gave before.  That
   is several times the way between regions, and does little harm when the
   answer comes after all.  */
#define LATE_MS 100
/* The link to a home is held so long after the last report, so that a silent
   connection shows.  */
#define HOLD_MS 3000

static void
peer_free (gpointer data)
{
  router_peer_t *peer = data;

  g_hash_table_unref (peer->unsent);
  told_free (peer->told);
  g_free (peer->name);
  g_free (peer);
}

void
homes_init (cfd_router_t *router)
{
  router->routers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
}

uint64_t
homes_number (const char *home)
{
  return XXH3_64bits (home, strlen (home));
}

/* Some accounts may have another home now.  */
static void
homes_moved (cfd_router_t *router, cfd_time_t now)
{
  router->homes_moved = true;
  shares_changed (router, now);
}

router_peer_t *
homes_get (cfd_router_t *router, const char *name)
{
  router_peer_t *peer = g_hash_table_lookup (router->routers, name);

  if (peer != NULL)
    return peer;
  peer = g_new0 (router_peer_t, 1);
  peer->name = g_strdup (name);
  peer->unsent = pair_table_new (NULL);
  peer->told = told_new ();
  g_hash_table_insert (router->routers, peer->name, peer);
  return peer;
}

void
homes_listed (cfd_router_t *router, cfd_time_t now)
{
  GPtrArray *instances = store_get_instances (router->store, ROLE_ROUTER);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->routers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((router_peer_t *)value)->listed = false;
  for (guint i = 0; i < instances->len; i++)
    {
      const store_instance_t *instance = instances->pdata[i];

      if (strcmp (instance->name, router->instance) == 0)
        continue;
      homes_get (router, instance->name)->listed = true;
      peer_hub_set_address (router->hub, instance->name, instance->address);
    }
  g_hash_table_iter_init (&iter, router->routers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const router_peer_t *peer = value;

      if (peer->listed || peer->up || peer->held)
        continue;
      peer_hub_set_address (router->hub, peer->name, "");
      g_hash_table_iter_remove (&iter);
    }
  homes_moved (router, now);
}

/* So that the check of turns knows why an order changed.  */
static void
note_moved (void *user, const char *account, const char *service,
            double tokens)
{
  cfd_router_t *router = user;

  turns_moved (router->turns, account, service, tokens);
}

static void
set_late (cfd_router_t *router, router_peer_t *peer, bool is_late)
{
  if (peer->late == is_late)
    return;
  peer->late = is_late;
  share_set_home_late (router->share, homes_number (peer->name), is_late,
                       note_moved, router);
}

/* Passes over PEER as a home until its link is up: its accounts move to their
   next choice, which is rebuilt from what each router reports.  Meanwhile the
   link is held, so that the accounts come back with the peer: a fixed time
   would leave them with two homes after a partition, and without any each time
   it runs out during one, and either way an account with work at several
   routers gets a whole share at each.  */
void
homes_avoid (cfd_router_t *router, router_peer_t *peer, cfd_time_t now)
{
  peer->missing_since = 0;
  peer->unanswered_since = 0;
  set_late (router, peer, false);
  peer->avoided = true;
  g_hash_table_remove_all (peer->unsent);
  homes_moved (router, now);
}

void
homes_trust (cfd_router_t *router, router_peer_t *peer, cfd_time_t now)
{
  peer->missing_since = 0;
  peer->unanswered_since = 0;
  set_late (router, peer, false);
  if (!peer->avoided)
    return;
  peer->avoided = false;
  homes_moved (router, now);
}

static bool
is_usable (void *user, const char *name)
{
  const cfd_router_t *router = user;
  const router_peer_t *peer = g_hash_table_lookup (router->routers, name);

  return peer == NULL || !peer->avoided;
}

/* The home of an account as this router sees it, itself included.  */
const char *
homes_of (cfd_router_t *router, const char *account, const char *service)
{
  const char *home = store_find_home_router (router->store, account, service,
                                             is_usable, router);

  return home != NULL ? home : router->instance;
}

uint64_t
homes_number_of (void *user, const char *account, const char *service)
{
  return homes_number (homes_of (user, account, service));
}

void
homes_hold (cfd_router_t *router, router_peer_t *peer, cfd_time_t now)
{
  peer->held_until = now + HOLD_MS;
  if (peer->held)
    return;
  peer->held = true;
  peer_hub_hold (router->hub, peer->name);
}

void
homes_sent (cfd_router_t *router, router_peer_t *peer, cfd_time_t now)
{
  /* Sooner after an answer the home may agree in silence.  */
  if (peer->unanswered_since == 0 && now - peer->answered >= TOLD_SILENCE_MS)
    peer->unanswered_since = now;
  if (peer->unanswered_since == 0)
    return;
  if (now - peer->unanswered_since >= ANSWER_MS)
    {
      homes_avoid (router, peer, now);
      return;
    }
  if (now - peer->unanswered_since >= LATE_MS)
    set_late (router, peer, true);
}

void
homes_missed (cfd_router_t *router, router_peer_t *peer, cfd_time_t now)
{
  if (peer->missing_since == 0)
    peer->missing_since = now;
  if (now - peer->missing_since >= MISSING_MS)
    homes_avoid (router, peer, now);
}

void
homes_peer_down (cfd_router_t *router, const char *name, cfd_time_t now)
{
  router_peer_t *peer = homes_get (router, name);

  told_forget (peer->told);
  /* A restarted peer can be up again before its former life's link ends.  */
  peer->up = peer_hub_is_up (router->hub, name);
  if (peer->held && !peer->up)
    homes_avoid (router, peer, now);
}

cfd_time_t
homes_release (cfd_router_t *router, cfd_time_t now)
{
  cfd_time_t next = CFD_TIME_NEVER;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->routers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      router_peer_t *peer = value;

      if (!peer->held || (peer->avoided && peer->listed))
        continue;
      if (peer->held_until > now)
        {
          next = MIN (next, peer->held_until);
          continue;
        }
      peer->held = false;
      homes_trust (router, peer, now);
      peer_hub_release (router->hub, peer->name);
    }
  return next;
}
