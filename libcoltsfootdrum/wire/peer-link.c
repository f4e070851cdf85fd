/* One link: its socket, its buffers, and frames to and from them.  */

#include "wire/peer-private.h"

#include "base/log.h"
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Larger buffers are given back once they are empty.  */
#define BUFFER_KEPT (256u * 1024)
/* Bytes read in one callback, so that one link can't starve the others.  */
#define READ_AT_ONCE (256u * 1024)
/* A stamp this far ahead of our wall clock is not taken in: one bad sender
   would push all stamps of the fleet to the end of the scale.  */
#define STAMP_AHEAD_MS (24 * 3600 * 1000)

static void on_readable (struct ev_loop *loop, ev_io *watcher, int events);
static void on_writable (struct ev_loop *loop, ev_io *watcher, int events);

peer_link_t *
link_new (peer_hub_t *hub, int fd, peer_t *peer, bool dialled, cfd_time_t now)
{
  peer_link_t *link = g_new0 (peer_link_t, 1);

  link->hub = hub;
  link->peer = peer;
  link->dialled = dialled;
  link->fd = fd;
  link->born = now;
  link->quiet_since = now;
  link->sent = now;
  link->in = g_byte_array_new ();
  link->out = g_byte_array_new ();
  list_append (&hub->links, &link->node);
  list_init (&link->in_peer);
  list_init (&link->dirty);
  hub->unproved++;
  ev_io_init (&link->readable, on_readable, fd, EV_READ);
  ev_io_init (&link->writable, on_writable, fd, EV_WRITE);
  link->readable.data = link;
  link->writable.data = link;
  if (dialled)
    {
      link->state = LINK_CONNECTING;
      ev_io_start (hub->loop, &link->writable);
      return link;
    }
  ev_io_start (hub->loop, &link->readable);
  auth_begin (link);
  return link;
}

void
link_free (peer_link_t *link)
{
  g_byte_array_unref (link->in);
  g_byte_array_unref (link->out);
  msg_state_clear (&link->in_state);
  msg_state_clear (&link->out_state);
  g_free ((char *)link->id.instance);
  g_free ((char *)link->id.zone);
  g_clear_pointer (&link->hello, g_bytes_unref);
  g_clear_pointer (&link->other_hello, g_bytes_unref);
  g_free (link);
}

static void
leave_peer (peer_link_t *link)
{
  peer_t *peer = link->peer;
  cfd_time_t now = clock_now ();

  if (peer == NULL)
    return;
  if (link == peer_newest (peer))
    peer->lost = true;
  if (peer->dialling == link)
    peer->dialling = NULL;
  if (link->dialled && link->proved != 0
      && now - link->proved >= PEER_STEADY_MS)
    peer->backoff_ms = 0;
  list_remove (&link->in_peer);
  if (peer_newest (peer) != NULL)
    watch_from (peer_newest (peer), now);
  hub_unsettle (link->hub, peer);
}

void
link_close (peer_link_t *link, const char *why)
{
  peer_hub_t *hub = link->hub;

  if (link->state == LINK_CLOSED)
    return;
  if (link->state == LINK_PROVED)
    {
      hub->counters.links_up--;
      log_info ("peer", "Closed a link: peer=%s reason=%s.", link->id.instance,
                why);
    }
  else
    hub->unproved--;
  ev_io_stop (hub->loop, &link->readable);
  ev_io_stop (hub->loop, &link->writable);
  close (link->fd);
  link->fd = -1;
  link->state = LINK_CLOSED;
  leave_peer (link);
  list_remove (&link->dirty);
  list_remove (&link->node);
  list_append (&hub->dead, &link->node);
}

size_t
link_pending (const peer_link_t *link)
{
  return link->out->len - link->out_done;
}

/* ---- sending ---- */

static void
count (peer_traffic_t *traffic, size_t bytes)
{
  traffic->frames++;
  traffic->bytes += bytes;
}

/* What a frame of KIND to the other side is coded by: the proof is by whole
   frames, for each side still has to learn what the other knows.  */
static msg_state_t *
out_state (peer_link_t *link, msg_kind_t kind)
{
  bool is_proof = kind == MSG_HELLO || kind == MSG_PROOF;

  return link->short_frames && !is_proof ? &link->out_state : NULL;
}

bool
link_send (peer_link_t *link, msg_t *message)
{
  peer_hub_t *hub = link->hub;
  g_autoptr (GByteArray) frame = NULL;

  message->stamp = hlc_tick (hub->clock, clock_wall_ms ());
  message->revision
      = hub->events.revision != NULL ? hub->events.revision (hub->user) : 0;
  frame = msg_encode (message, out_state (link, message->kind));
  if (frame == NULL)
    {
      log_error ("peer", "Frame not sent, a field is over its limit: kind=%s.",
                 msg_kind_name (message->kind));
      return false;
    }
  /* A link that takes nothing is closed, not skipped: then both sides know
     that frames were lost, and start anew.  */
  if (link_pending (link) + frame->len > PEER_MAX_OUTPUT_BYTES)
    {
      link_close (link, "output full");
      return false;
    }
  count (&hub->counters.out[message->kind], frame->len);
  g_byte_array_append (link->out, frame->data, frame->len);
  if (!list_is_linked (&link->dirty))
    list_append (&hub->dirty, &link->dirty);
  return true;
}

static void
trim_out (peer_link_t *link)
{
  if (link->out_done == link->out->len)
    {
      if (link->out->len > BUFFER_KEPT)
        {
          g_byte_array_unref (link->out);
          link->out = g_byte_array_new ();
        }
      g_byte_array_set_size (link->out, 0);
      link->out_done = 0;
      return;
    }
  if (link->out_done < BUFFER_KEPT || link->out_done < link->out->len / 2)
    return;
  g_byte_array_remove_range (link->out, 0, link->out_done);
  link->out_done = 0;
}

void
link_flush (peer_link_t *link)
{
  ssize_t sent = 0;

  list_remove (&link->dirty);
  if (link->state == LINK_CONNECTING || link->state == LINK_CLOSED)
    return;
  while (link_pending (link) > 0)
    {
      sent = send (link->fd, link->out->data + link->out_done,
                   link_pending (link), MSG_NOSIGNAL);
      if (sent <= 0)
        break;
      link->out_done += sent;
      link->sent = clock_now ();
    }
  if (sent < 0 && errno != EAGAIN && errno != EINTR)
    {
      link_close (link, "broken while written");
      return;
    }
  trim_out (link);
  if (link_pending (link) > 0)
    ev_io_start (link->hub->loop, &link->writable);
  else
    ev_io_stop (link->hub->loop, &link->writable);
}

static void
finish_connect (peer_link_t *link)
{
  int fault = 0;
  socklen_t size = sizeof fault;

  if (getsockopt (link->fd, SOL_SOCKET, SO_ERROR, &fault, &size) != 0
      || fault != 0)
    {
      link_close (link, "can't be dialled");
      return;
    }
  ev_io_start (link->hub->loop, &link->readable);
  auth_begin (link);
}

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  peer_link_t *link = watcher->data;

  if (link->state == LINK_CONNECTING)
    finish_connect (link);
  if (link->state != LINK_CLOSED)
    link_flush (link);
}

/* ---- receiving ---- */

static void
take_stamp (peer_hub_t *hub, uint64_t stamp)
{
  int64_t wall = clock_wall_ms ();

  if ((int64_t)(stamp >> 16) - wall < STAMP_AHEAD_MS)
    hlc_merge (hub->clock, stamp, wall);
}

static void
tell_heartbeat (peer_link_t *link, cfd_time_t now)
{
  peer_hub_t *hub = link->hub;

  if (hub->events.heartbeat != NULL)
    hub->events.heartbeat (hub->user, &link->id, now);
}

void
link_show_revision (peer_link_t *link, const msg_t *message)
{
  link->id.revision = MAX (link->id.revision, message->revision);
}

static bool
take_proved (peer_link_t *link, const msg_t *message, cfd_time_t now)
{
  peer_hub_t *hub = link->hub;
  msg_t pong = { .kind = MSG_PONG };

  take_stamp (hub, message->stamp);
  link_show_revision (link, message);
  switch (message->kind)
    {
    case MSG_HELLO:
    case MSG_PROOF:
      return false;
    case MSG_PING:
      (void)link_send (link, &pong);
      tell_heartbeat (link, now);
      return true;
    case MSG_PONG:
      watch_pong (link);
      tell_heartbeat (link, now);
      return true;
    default:
      if (hub->events.message != NULL)
        hub->events.message (hub->user, &link->id, message, now);
      return true;
    }
}

static void
take_frame (peer_link_t *link, const uint8_t *payload, size_t length,
            size_t prefix)
{
  peer_hub_t *hub = link->hub;
  /* Read afresh for each frame: the process may have been frozen since the
     one before, and a grant may have lapsed meanwhile.  */
  cfd_time_t now = clock_now ();
  g_autoptr (GError) error = NULL;
  bool proved = link->state == LINK_PROVED;
  msg_state_t *state = proved && link->short_frames ? &link->in_state : NULL;
  g_autoptr (msg_t) message = msg_decode (payload, length, state, &error);

  if (message == NULL)
    {
      hub->counters.frames_bad++;
      log_warn ("peer", "Bad frame: peer=%s fault=%s.",
                proved ? link->id.instance : "not proved", error->message);
      link_close (link, "bad frame");
      return;
    }
  count (&hub->counters.in[message->kind], length + prefix);
  if (proved)
    {
      if (!take_proved (link, message, now))
        {
          hub->counters.frames_bad++;
          link_close (link, "frame out of place");
        }
      return;
    }
  if (!auth_frame (link, message, payload, length, now))
    {
      hub->counters.links_refused++;
      link_close (link, "refused");
    }
}

static void
refuse_length (peer_link_t *link, msg_length_t what, uint32_t length,
               size_t most)
{
  const char *name = link->id.instance ? link->id.instance : "not proved";

  link->hub->counters.frames_bad++;
  if (what == MSG_LENGTH_INVALID)
    log_warn ("peer", "Bad length of a frame: peer=%s.", name);
  else
    log_warn ("peer", "Frame too large: peer=%s bytes=%u most=%zu.", name,
              length, most);
  link_close (link, "frame too large or of no length");
}

/* Takes whole frames from the input; returns how many bytes they had.  */
static size_t
take_frames (peer_link_t *link)
{
  size_t done = 0;

  while (link->state != LINK_CLOSED)
    {
      bool proved = link->state == LINK_PROVED;
      bool is_short = proved && link->short_frames;
      size_t most = proved ? MSG_FRAME_MAX : PEER_HELLO_MAX;
      const uint8_t *start = link->in->data + done;
      size_t have = link->in->len - done;
      uint32_t length = 0;
      size_t prefix;
      msg_length_t what
          = msg_parse_length (start, have, is_short, &length, &prefix);

      if (what == MSG_LENGTH_INCOMPLETE)
        break;
      if (what == MSG_LENGTH_INVALID || length > most)
        {
          refuse_length (link, what, length, most);
          break;
        }
      if (have - prefix < length)
        break;
      take_frame (link, start + prefix, length, prefix);
      done += prefix + length;
    }
  return done;
}

static void
take_input (peer_link_t *link)
{
  size_t done = take_frames (link);

  if (link->state == LINK_CLOSED || done == 0)
    return;
  if (done < link->in->len)
    {
      g_byte_array_remove_range (link->in, 0, done);
      return;
    }
  if (link->in->len > BUFFER_KEPT)
    {
      g_byte_array_unref (link->in);
      link->in = g_byte_array_new ();
    }
  g_byte_array_set_size (link->in, 0);
}

static void
read_input (peer_link_t *link)
{
  peer_hub_t *hub = link->hub;
  size_t total = 0;
  ssize_t got;

  while (link->state != LINK_CLOSED && total < READ_AT_ONCE)
    {
      got = recv (link->fd, hub->chunk, sizeof hub->chunk, 0);
      if (got < 0 && (errno == EAGAIN || errno == EINTR))
        return;
      if (got <= 0)
        {
          link_close (link, got == 0 ? "closed by the other side"
                                     : "broken while read");
          return;
        }
      link->quiet_since = clock_now ();
      g_byte_array_append (link->in, hub->chunk, got);
      take_input (link);
      total += got;
      if ((size_t)got < sizeof hub->chunk)
        return;
    }
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  peer_link_t *link = watcher->data;

  /* The owner hears of lost links before it gets frames of others.  */
  hub_settle (link->hub);
  read_input (link);
  hub_settle (link->hub);
}
