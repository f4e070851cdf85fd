#include "agent/agent-links.h"

typedef struct
{
  char *name;
  char *zone;
  cfd_time_t lost;
  bool up;
} link_t;

struct links
{
  GHashTable *by_name;
};

static void
link_free (gpointer data)
{
  link_t *link = data;

  g_free (link->name);
  g_free (link->zone);
  g_free (link);
}

links_t *
links_new (void)
{
  links_t *links = g_new0 (links_t, 1);

  links->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, link_free);
  return links;
}

void
links_free (links_t *links)
{
  if (links == NULL)
    return;
  g_hash_table_unref (links->by_name);
  g_free (links);
}

void
links_up (links_t *links, const char *router, const char *zone)
{
  link_t *link = g_hash_table_lookup (links->by_name, router);

  if (link == NULL)
    {
      link = g_new0 (link_t, 1);
      link->name = g_strdup (router);
      g_hash_table_insert (links->by_name, link->name, link);
    }
  g_free (link->zone);
  link->zone = g_strdup (zone);
  link->up = true;
}

void
links_down (links_t *links, const char *router, bool silent, cfd_time_t now)
{
  link_t *link = g_hash_table_lookup (links->by_name, router);

  if (link == NULL)
    return;
  link->up = false;
  link->lost = now;
  if (!silent)
    g_hash_table_remove (links->by_name, router);
}

void
links_expire (links_t *links, bool platform_up, cfd_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  if (!platform_up)
    return;
  g_hash_table_iter_init (&iter, links->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const link_t *link = value;

      if (!link->up && now - link->lost > LINKS_LOST_MS)
        g_hash_table_iter_remove (&iter);
    }
}

void
links_count (const links_t *links, unsigned *known, unsigned *heard)
{
  GHashTableIter iter;
  gpointer value;

  *known = g_hash_table_size (links->by_name);
  *heard = 0;
  g_hash_table_iter_init (&iter, links->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    *heard += ((const link_t *)value)->up;
}

unsigned
links_zones (const links_t *links)
{
  g_autoptr (GHashTable) zones = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, links->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((link_t *)value)->up)
      g_hash_table_add (zones, ((link_t *)value)->zone);
  return g_hash_table_size (zones);
}

void
links_each_up (const links_t *links,
               void (*visit) (void *user, const char *router), void *user)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, links->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const link_t *link = value;

      if (link->up)
        visit (user, link->name);
    }
}

const char *
links_nth_up (const links_t *links, unsigned nth)
{
  unsigned known;
  unsigned heard;
  GHashTableIter iter;
  gpointer value;

  links_count (links, &known, &heard);
  if (heard == 0)
    return NULL;
  nth %= heard;
  g_hash_table_iter_init (&iter, links->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((link_t *)value)->up && nth-- == 0)
      return ((link_t *)value)->name;
  return NULL;
}
