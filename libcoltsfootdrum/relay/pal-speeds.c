/* Peers: the speeds of endpoints, as the other routers measured them.  */

#include "relay/pal-private.h"

/* Interval at which the speeds are summed up.  All sums of all routers are
   added each time, which needs no care for endpoints that are listed later and
   for routers that leave the cell.  */
#define SUM_INTERVAL_MS 500
/* A router sends the speeds that it has evidence of about every second.  What
   it did not send for this time, with some datagrams lost, is out of date.  */
#define SPEED_LIFETIME_MS 5000

void
pal_receive_speeds (pal_peer_t *peer, cfd_time_t now, const msg_node_t *rows)
{
  for (unsigned i = 0; i + 2 < rows->length; i += 3)
    {
      const msg_node_t *row = &rows->u.items[i];
      pal_speed_t received
          = { .endpoint = row[0].u.number,
              .sums
              = { .observed = (double)MIN (row[1].u.number, MAX_SPEED_MS),
                  .expected = (double)MIN (row[2].u.number, MAX_SPEED_MS) },
              .received_at = now };
      pal_speed_t *speed
          = g_hash_table_lookup (peer->speeds, &received.endpoint);

      if (speed != NULL)
        {
          *speed = received;
          continue;
        }
      speed = g_memdup2 (&received, sizeof received);
      g_hash_table_insert (peer->speeds, &speed->endpoint, speed);
    }
}

/* Adds the speeds of PEER to their endpoints, without those that lapsed.  */
static void
add_peer_speeds (pal_t *pal, pal_peer_t *peer, cfd_time_t now)
{
  GHashTableIter each;
  void *data;

  g_hash_table_iter_init (&each, peer->speeds);
  while (g_hash_table_iter_next (&each, NULL, &data))
    {
      const pal_speed_t *speed = data;
      int64_t age_ms = now - speed->received_at;
      spd_sums_t sums = spd_decay (&speed->sums, age_ms);
      edp_t *edp;

      if (age_ms > SPEED_LIFETIME_MS)
        {
          g_hash_table_iter_remove (&each);
          continue;
        }
      edp = edp_set_find_by_hash (pal->endpoints, speed->endpoint);
      if (edp != NULL)
        spd_add_peer (&edp->speed, &sums);
    }
}

void
pal_sum_speeds (pal_t *pal, cfd_time_t now)
{
  GHashTableIter each;
  void *peer;

  if (now - pal->speeds_summed_at < SUM_INTERVAL_MS)
    return;
  pal->speeds_summed_at = now;
  list_for_each (node, edp_set_endpoints (pal->endpoints))
    {
      spd_clear_peers (&list_entry (node, edp_t, node)->speed);
    }
  list_for_each (node, edp_set_others (pal->endpoints))
    {
      spd_clear_peers (&list_entry (node, edp_t, node)->speed);
    }
  g_hash_table_iter_init (&each, pal->peers);
  while (g_hash_table_iter_next (&each, NULL, &peer))
    add_peer_speeds (pal, peer, now);
}
