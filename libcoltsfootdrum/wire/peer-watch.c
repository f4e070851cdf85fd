/* Supervision of links: heartbeats, and closing of silent and idle links.

   A PING is sent over a held link only after a heartbeat interval without
   receiving anything, so that busy links need no heartbeats.  Two faults close
   a held link: silence, because a connection can hang for good while new ones
   work; and an unanswered PING although frames arrive, because then only one
   direction works.  */

#include "wire/peer-private.h"

void
watch_reset (peer_link_t *link, cfd_time_t now)
{
  link->silent_since = now;
  link->unanswered_ping_since = 0;
}

void
watch_record_pong (peer_link_t *link)
{
  link->unanswered_ping_since = 0;
}

static void
send_ping (peer_link_t *link, cfd_time_t now)
{
  msg_t message = { .kind = MSG_PING };

  link->last_ping = now;
  if (link->unanswered_ping_since == 0)
    link->unanswered_ping_since = now;
  (void)link_send (link, &message);
}

static void
check_held_link (peer_link_t *link, cfd_time_t now)
{
  if (now - link->silent_since >= PEER_SILENCE_TIMEOUT_MS
      || (link->unanswered_ping_since != 0
          && now - link->unanswered_ping_since >= PEER_PONG_TIMEOUT_MS))
    {
      link->hub->counters.silences++;
      link_close (link, "silent");
      return;
    }
  if (now - link->last_ping < PEER_HEARTBEAT_INTERVAL_MS)
    return;
  /* An unanswered PING is repeated only after silence; on a link that receives
     frames, its PONG may be queued behind them.  */
  if (now - link->silent_since >= PEER_HEARTBEAT_INTERVAL_MS
      || now - link->last_ping >= PEER_SILENCE_TIMEOUT_MS)
    send_ping (link, now);
}

static void
check_link (peer_link_t *link, cfd_time_t now)
{
  if (link->state != LINK_AUTHENTICATED)
    {
      if (now - link->created_at >= PEER_SILENCE_TIMEOUT_MS)
        link_close (link, "not proved in time");
      return;
    }
  if (link->peer->hold_count > 0 && link == peer_get_newest_link (link->peer))
    check_held_link (link, now);
  else if (now - MAX (link->silent_since, link->last_sent)
           >= PEER_IDLE_TIMEOUT_MS)
    link_close (link, "idle");
}

/* After the own process was frozen, all peers seem to have been silent,
   because their frames are still unread in the sockets.  Without a reset all
   held links would be closed at once.  */
static void
reset_silence (peer_hub_t *hub, cfd_time_t now)
{
  list_for_each (node, &hub->links)
    {
      peer_link_t *link = list_entry (node, peer_link_t, node);

      watch_reset (link, now);
      link->created_at = now;
    }
}

void
watch_check_links (peer_hub_t *hub, cfd_time_t now)
{
  if (now - hub->last_tick > PEER_TICK_INTERVAL_MS + PEER_FREEZE_THRESHOLD_MS)
    reset_silence (hub, now);
  hub->last_tick = now;
  list_for_each_safe (node, &hub->links)
    check_link (list_entry (node, peer_link_t, node), now);
}
