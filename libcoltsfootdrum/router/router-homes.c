/* Selection of home routers.  Home router: the router that adds up the
   account's virtual time, chosen by rendezvous hashing.  It is chosen among
   the routers that, in this router's view, are reachable and answer.  */

#include "router/router-private.h"

#include "base/pair.h"

#include <string.h>
#include <xxhash.h>

/* A home that is unreachable for this time is excluded, until there is a
   link.  */
#define UNREACHABLE_MS 500
/* A home answers each report that comes PEER_VIEW_MAX_SILENCE_MS after its
   last answer or later; one that did not for this time is cut off or frozen,
   and is excluded until an answer or a new link comes.  The link's own silence
   timeout takes 2 s, during which each router of an account would know only
   its own part.  Both times together are 750 ms, many times the latency
   between regions and what a busy home takes.  */
#define ANSWER_TIMEOUT_MS 500
/* Before that timeout, an answer that is this late is treated as one that may
   not come: accounts continue as if their other routers served them at the
   former rate.  That is several times the latency between regions, and does
   little harm if the answer does come.  */
#define ANSWER_LATE_MS 100
/* How long the link to a home is held after the last report, so that a silent
   connection is detected.  */
#define LINK_HOLD_MS 3000

static void
peer_free (gpointer data)
{
  router_peer_t *peer = data;

  g_hash_table_unref (peer->unsent);
  peer_view_free (peer->view);
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
homes_hash (const char *home)
{
  return XXH3_64bits (home, strlen (home));
}

/* Some accounts may have another home now.  */
static void
mark_homes_changed (cfd_router_t *router, cfd_time_t now)
{
  router->homes_changed = true;
  shares_schedule_report (router, now);
}

router_peer_t *
homes_find_or_add (cfd_router_t *router, const char *name)
{
  router_peer_t *peer = g_hash_table_lookup (router->routers, name);

  if (peer != NULL)
    return peer;
  peer = g_new0 (router_peer_t, 1);
  peer->name = g_strdup (name);
  peer->unsent = pair_table_new (NULL);
  peer->view = peer_view_new ();
  g_hash_table_insert (router->routers, peer->name, peer);
  return peer;
}

void
homes_instances_changed (cfd_router_t *router, cfd_time_t now)
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
      homes_find_or_add (router, instance->name)->listed = true;
      peer_hub_set_address (router->hub, instance->name, instance->address);
    }
  g_hash_table_iter_init (&iter, router->routers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const router_peer_t *peer = value;

      if (peer->listed || peer->up || peer->link_held)
        continue;
      peer_hub_set_address (router->hub, peer->name, "");
      g_hash_table_iter_remove (&iter);
    }
  mark_homes_changed (router, now);
}

/* Reports a change of a virtual time to the fairness check.  */
static void
on_virtual_time_changed (void *user, const char *account, const char *service,
                         double tokens)
{
  cfd_router_t *router = user;

  fairness_adjust (router->fairness, account, service, tokens);
}

static void
set_answer_late (cfd_router_t *router, router_peer_t *peer, bool is_late)
{
  if (peer->answer_late == is_late)
    return;
  peer->answer_late = is_late;
  share_set_home_late (router->share, homes_hash (peer->name), is_late,
                       on_virtual_time_changed, router);
}

/* Excludes PEER as a home until its link is up: its accounts move to their
   next choice, whose state is rebuilt from what each router reports.  The link
   is held meanwhile, so that the accounts return with the peer.  A fixed time
   instead would leave them with two homes after a partition, and with none
   each time that it expired during one; in either case an account with work at
   several routers gets a whole share at each.  */
void
homes_exclude (cfd_router_t *router, router_peer_t *peer, cfd_time_t now)
{
  peer->unreachable_since = 0;
  peer->unanswered_since = 0;
  set_answer_late (router, peer, false);
  peer->excluded = true;
  g_hash_table_remove_all (peer->unsent);
  mark_homes_changed (router, now);
}

void
homes_readmit (cfd_router_t *router, router_peer_t *peer, cfd_time_t now)
{
  peer->unreachable_since = 0;
  peer->unanswered_since = 0;
  set_answer_late (router, peer, false);
  if (!peer->excluded)
    return;
  peer->excluded = false;
  mark_homes_changed (router, now);
}

static bool
is_usable (void *user, const char *name)
{
  const cfd_router_t *router = user;
  const router_peer_t *peer = g_hash_table_lookup (router->routers, name);

  return peer == NULL || !peer->excluded;
}

const char *
homes_lookup (cfd_router_t *router, const char *account, const char *service)
{
  const char *home = store_find_home_router (router->store, account, service,
                                             is_usable, router);

  return home != NULL ? home : router->instance;
}

uint64_t
homes_hash_of_account (void *user, const char *account, const char *service)
{
  return homes_hash (homes_lookup (user, account, service));
}

void
homes_hold_link (cfd_router_t *router, router_peer_t *peer, cfd_time_t now)
{
  peer->hold_until = now + LINK_HOLD_MS;
  if (peer->link_held)
    return;
  peer->link_held = true;
  peer_hub_hold (router->hub, peer->name);
}

void
homes_report_sent (cfd_router_t *router, router_peer_t *peer, cfd_time_t now)
{
  /* Before that the home need not answer a report that it agrees with.  */
  if (peer->unanswered_since == 0
      && now - peer->last_answer_at >= PEER_VIEW_MAX_SILENCE_MS)
    peer->unanswered_since = now;
  if (peer->unanswered_since == 0)
    return;
  if (now - peer->unanswered_since >= ANSWER_TIMEOUT_MS)
    {
      homes_exclude (router, peer, now);
      return;
    }
  if (now - peer->unanswered_since >= ANSWER_LATE_MS)
    set_answer_late (router, peer, true);
}

void
homes_report_failed (cfd_router_t *router, router_peer_t *peer, cfd_time_t now)
{
  if (peer->unreachable_since == 0)
    peer->unreachable_since = now;
  if (now - peer->unreachable_since >= UNREACHABLE_MS)
    homes_exclude (router, peer, now);
}

void
homes_peer_down (cfd_router_t *router, const char *name, cfd_time_t now)
{
  router_peer_t *peer = homes_find_or_add (router, name);

  peer_view_reset (peer->view);
  /* A restarted peer can be up again before the link to its former process is
     closed.  */
  peer->up = peer_hub_is_up (router->hub, name);
  if (peer->link_held && !peer->up)
    homes_exclude (router, peer, now);
}

cfd_time_t
homes_release_links (cfd_router_t *router, cfd_time_t now)
{
  cfd_time_t next = CFD_TIME_NEVER;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->routers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      router_peer_t *peer = value;

      if (!peer->link_held || (peer->excluded && peer->listed))
        continue;
      if (peer->hold_until > now)
        {
          next = MIN (next, peer->hold_until);
          continue;
        }
      peer->link_held = false;
      homes_readmit (router, peer, now);
      peer_hub_release (router->hub, peer->name);
    }
  return next;
}
