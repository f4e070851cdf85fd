#include "agent/agent-links.h"

typedef struct
{
  char *name;
  char *zone;
  cfd_time_t lost_at;
  bool is_up;
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
links_set_up (links_t *links, const char *router, const char *zone)
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
  link->is_up = true;
}

void
links_set_down (links_t *links, const char *router, bool has_timed_out,
                cfd_time_t now)
{
  link_t *link = g_hash_table_lookup (links->by_name, router);

  if (link == NULL)
    return;
  link->is_up = false;
  link->lost_at = now;
  if (!has_timed_out)
    g_hash_table_remove (links->by_name, router);
}

void
links_expire (links_t *links, bool is_platform_up, cfd_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  if (!is_platform_up)
    return;
  g_hash_table_iter_init (&iter, links->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const link_t *link = value;

      if (!link->is_up && now - link->lost_at > LINKS_LOST_RETENTION_MS)
        g_hash_table_iter_remove (&iter);
    }
}

void
links_get_counts (const links_t *links, unsigned *known_count,
                  unsigned *up_count)
{
  GHashTableIter iter;
  gpointer value;

  *known_count = g_hash_table_size (links->by_name);
  *up_count = 0;
  g_hash_table_iter_init (&iter, links->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    *up_count += ((const link_t *)value)->is_up;
}

unsigned
links_count_zones (const links_t *links)
{
  g_autoptr (GHashTable) zones = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, links->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((link_t *)value)->is_up)
      g_hash_table_add (zones, ((link_t *)value)->zone);
  return g_hash_table_size (zones);
}

void
links_for_each_up (const links_t *links,
                   void (*visit) (void *user, const char *router), void *user)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, links->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const link_t *link = value;

      if (link->is_up)
        visit (user, link->name);
    }
}

const char *
links_get_nth_up (const links_t *links, unsigned nth)
{
  unsigned known_count;
  unsigned up_count;
  GHashTableIter iter;
  gpointer value;

  links_get_counts (links, &known_count, &up_count);
  if (up_count == 0)
    return NULL;
  nth %= up_count;
  g_hash_table_iter_init (&iter, links->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((link_t *)value)->is_up && nth-- == 0)
      return ((link_t *)value)->name;
  return NULL;
}
