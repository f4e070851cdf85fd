/* Heartbeats of held links, and the end of silent and idle ones.

   A held link is sent a PING when nothing was heard for a heartbeat: traffic
   that flows costs no heartbeats.  Two faults close it.  Silence, because a
   connection can go silent for good while new ones work; and a PING that is
   never answered although something is heard, because then only one direction
   works.  */

#include "wire/peer-private.h"

void
watch_from (peer_link_t *link, cfd_time_t now)
{
  link->quiet_since = now;
  link->ping_open = 0;
}

void
watch_pong (peer_link_t *link)
{
  link->ping_open = 0;
}

static void
ping (peer_link_t *link, cfd_time_t now)
{
  msg_t message = { .kind = MSG_PING };

  link->pinged = now;
  if (link->ping_open == 0)
    link->ping_open = now;
  (void)link_send (link, &message);
}

static void
watch_held (peer_link_t *link, cfd_time_t now)
{
  if (now - link->quiet_since >= PEER_SILENCE_TIMEOUT_MS
      || (link->ping_open != 0 && now - link->ping_open >= PEER_UNANSWERED_MS))
    {
      link->hub->counters.silences++;
      link_close (link, "silent");
      return;
    }
  if (now - link->pinged < PEER_HEARTBEAT_INTERVAL_MS)
    return;
  /* An unanswered PING is repeated only after silence: on a live link its
     PONG is on the way behind other frames.  */
  if (now - link->quiet_since >= PEER_HEARTBEAT_INTERVAL_MS
      || now - link->pinged >= PEER_SILENCE_TIMEOUT_MS)
    ping (link, now);
}

static void
watch_link (peer_link_t *link, cfd_time_t now)
{
  if (link->state != LINK_PROVED)
    {
      if (now - link->born >= PEER_SILENCE_TIMEOUT_MS)
        link_close (link, "not proved in time");
      return;
    }
  if (link->peer->holds > 0 && link == peer_newest (link->peer))
    watch_held (link, now);
  else if (now - MAX (link->quiet_since, link->sent) >= PEER_IDLE_TIMEOUT_MS)
    link_close (link, "idle");
}

/* After a freeze of our own process everybody seems to have been silent: the
   peers' frames wait unread in our sockets.  Without a fresh start all held
   links would be closed at once.  */
static void
forgive_silence (peer_hub_t *hub, cfd_time_t now)
{
  list_for_each (node, &hub->links)
    {
      peer_link_t *link = list_entry (node, peer_link_t, node);

      watch_from (link, now);
      link->born = now;
    }
}

void
watch_links (peer_hub_t *hub, cfd_time_t now)
{
  if (now - hub->ticked > PEER_TICK_MS + PEER_FROZEN_MS)
    forgive_silence (hub, now);
  hub->ticked = now;
  list_for_each_safe (node, &hub->links)
    watch_link (list_entry (node, peer_link_t, node), now);
}
