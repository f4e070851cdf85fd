/* One link: its socket and buffers, and sending and receiving of frames.  */

#include "wire/peer-private.h"

#include "base/log.h"
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Larger buffers are freed once they are empty.  */
#define MAX_IDLE_BUFFER_BYTES (256u * 1024)
/* Limit of bytes read in one callback, so that one link can't starve others.
 */
#define MAX_READ_BYTES_PER_WAKEUP (256u * 1024)
/* Stamps that are further ahead of the wall clock are ignored; otherwise one
   bad sender could advance the clocks of the whole fleet to their limit.  */
#define MAX_STAMP_AHEAD_MS (24 * 3600 * 1000)

static void on_readable (struct ev_loop *loop, ev_io *watcher, int events);
static void on_writable (struct ev_loop *loop, ev_io *watcher, int events);

peer_link_t *
link_new (peer_hub_t *hub, int fd, peer_t *peer, bool is_dialled,
          cfd_time_t now)
{
  peer_link_t *link = g_new0 (peer_link_t, 1);

  link->hub = hub;
  link->peer = peer;
  link->is_dialled = is_dialled;
  link->fd = fd;
  link->created_at = now;
  link->silent_since = now;
  link->last_sent = now;
  link->in = g_byte_array_new ();
  link->out = g_byte_array_new ();
  list_append (&hub->links, &link->node);
  list_init (&link->peer_node);
  list_init (&link->flush_node);
  hub->unauthenticated_links++;
  ev_io_init (&link->readable, on_readable, fd, EV_READ);
  ev_io_init (&link->writable, on_writable, fd, EV_WRITE);
  link->readable.data = link;
  link->writable.data = link;
  if (is_dialled)
    {
      link->state = LINK_CONNECTING;
      ev_io_start (hub->loop, &link->writable);
      return link;
    }
  ev_io_start (hub->loop, &link->readable);
  auth_send_hello (link);
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
  g_clear_pointer (&link->peer_hello, g_bytes_unref);
  g_free (link);
}

static void
detach_from_peer (peer_link_t *link)
{
  peer_t *peer = link->peer;
  cfd_time_t now = clock_now ();

  if (peer == NULL)
    return;
  if (link == peer_get_newest_link (peer))
    peer->lost_since_report = true;
  if (peer->dialling_link == link)
    peer->dialling_link = NULL;
  if (link->is_dialled && link->authenticated_at != 0
      && now - link->authenticated_at >= PEER_STABLE_LINK_MS)
    peer->backoff_ms = 0;
  list_remove (&link->peer_node);
  if (peer_get_newest_link (peer) != NULL)
    watch_reset (peer_get_newest_link (peer), now);
  hub_queue_notification (link->hub, peer);
}

void
link_close (peer_link_t *link, const char *reason)
{
  peer_hub_t *hub = link->hub;

  if (link->state == LINK_CLOSED)
    return;
  if (link->state == LINK_AUTHENTICATED)
    {
      hub->counters.links_up--;
      log_info ("peer", "Closed a link: peer=%s reason=%s.", link->id.instance,
                reason);
    }
  else
    hub->unauthenticated_links--;
  ev_io_stop (hub->loop, &link->readable);
  ev_io_stop (hub->loop, &link->writable);
  close (link->fd);
  link->fd = -1;
  link->state = LINK_CLOSED;
  detach_from_peer (link);
  list_remove (&link->flush_node);
  list_remove (&link->node);
  list_append (&hub->closed_links, &link->node);
}

size_t
link_get_pending_bytes (const peer_link_t *link)
{
  return link->out->len - link->out_sent_bytes;
}

/* ---- sending ---- */

static void
count_frame (peer_traffic_t *traffic, size_t bytes)
{
  traffic->frames++;
  traffic->bytes += bytes;
}

/* Returns the state to encode a frame of KIND with, or NULL for a whole frame.
   Authentication uses whole frames, because neither side knows yet whether the
   other one supports short frames.  */
static msg_state_t *
choose_out_state (peer_link_t *link, msg_kind_t kind)
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
  frame = msg_encode (message, choose_out_state (link, message->kind));
  if (frame == NULL)
    {
      log_error ("peer", "Frame not sent, a field is over its limit: kind=%s.",
                 msg_kind_name (message->kind));
      return false;
    }
  /* A link whose output is full is closed instead of dropping the frame, so
     that both sides know that frames were lost and start again.  */
  if (link_get_pending_bytes (link) + frame->len > PEER_MAX_OUTPUT_BYTES)
    {
      link_close (link, "output full");
      return false;
    }
  count_frame (&hub->counters.out[message->kind], frame->len);
  g_byte_array_append (link->out, frame->data, frame->len);
  if (!list_is_linked (&link->flush_node))
    list_append (&hub->flush_queue, &link->flush_node);
  return true;
}

static void
compact_output (peer_link_t *link)
{
  if (link->out_sent_bytes == link->out->len)
    {
      if (link->out->len > MAX_IDLE_BUFFER_BYTES)
        {
          g_byte_array_unref (link->out);
          link->out = g_byte_array_new ();
        }
      g_byte_array_set_size (link->out, 0);
      link->out_sent_bytes = 0;
      return;
    }
  if (link->out_sent_bytes < MAX_IDLE_BUFFER_BYTES
      || link->out_sent_bytes < link->out->len / 2)
    return;
  g_byte_array_remove_range (link->out, 0, link->out_sent_bytes);
  link->out_sent_bytes = 0;
}

void
link_flush (peer_link_t *link)
{
  ssize_t sent_bytes = 0;

  list_remove (&link->flush_node);
  if (link->state == LINK_CONNECTING || link->state == LINK_CLOSED)
    return;
  while (link_get_pending_bytes (link) > 0)
    {
      sent_bytes = send (link->fd, link->out->data + link->out_sent_bytes,
                         link_get_pending_bytes (link), MSG_NOSIGNAL);
      if (sent_bytes <= 0)
        break;
      link->out_sent_bytes += sent_bytes;
      link->last_sent = clock_now ();
    }
  if (sent_bytes < 0 && errno != EAGAIN && errno != EINTR)
    {
      link_close (link, "broken while written");
      return;
    }
  compact_output (link);
  if (link_get_pending_bytes (link) > 0)
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
  auth_send_hello (link);
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
merge_stamp (peer_hub_t *hub, uint64_t stamp)
{
  int64_t wall = clock_wall_ms ();

  if ((int64_t)(stamp >> 16) - wall < MAX_STAMP_AHEAD_MS)
    hlc_merge (hub->clock, stamp, wall);
}

static void
report_heartbeat (peer_link_t *link, cfd_time_t now)
{
  peer_hub_t *hub = link->hub;

  if (hub->events.heartbeat != NULL)
    hub->events.heartbeat (hub->user, &link->id, now);
}

void
link_record_revision (peer_link_t *link, const msg_t *message)
{
  link->id.revision = MAX (link->id.revision, message->revision);
}

static bool
handle_authenticated (peer_link_t *link, const msg_t *message, cfd_time_t now)
{
  peer_hub_t *hub = link->hub;
  msg_t pong = { .kind = MSG_PONG };

  merge_stamp (hub, message->stamp);
  link_record_revision (link, message);
  switch (message->kind)
    {
    case MSG_HELLO:
    case MSG_PROOF:
      return false;
    case MSG_PING:
      (void)link_send (link, &pong);
      report_heartbeat (link, now);
      return true;
    case MSG_PONG:
      watch_record_pong (link);
      report_heartbeat (link, now);
      return true;
    default:
      if (hub->events.message != NULL)
        hub->events.message (hub->user, &link->id, message, now);
      return true;
    }
}

static void
handle_frame (peer_link_t *link, const uint8_t *payload, size_t length,
              size_t prefix)
{
  peer_hub_t *hub = link->hub;
  /* The clock is read for each frame, because the process may have been frozen
     since the last one, and a grant may have expired meanwhile.  */
  cfd_time_t now = clock_now ();
  g_autoptr (GError) error = NULL;
  bool is_authenticated = link->state == LINK_AUTHENTICATED;
  msg_state_t *state
      = is_authenticated && link->short_frames ? &link->in_state : NULL;
  g_autoptr (msg_t) message = msg_decode (payload, length, state, &error);

  if (message == NULL)
    {
      hub->counters.frames_bad++;
      log_warn ("peer", "Bad frame: peer=%s fault=%s.",
                is_authenticated ? link->id.instance : "not proved",
                error->message);
      link_close (link, "bad frame");
      return;
    }
  count_frame (&hub->counters.in[message->kind], length + prefix);
  if (is_authenticated)
    {
      if (!handle_authenticated (link, message, now))
        {
          hub->counters.frames_bad++;
          link_close (link, "frame out of place");
        }
      return;
    }
  if (!auth_handle_frame (link, message, payload, length, now))
    {
      hub->counters.links_refused++;
      link_close (link, "refused");
    }
}

static void
reject_length (peer_link_t *link, msg_length_t result, uint32_t length,
               size_t max)
{
  const char *name = link->id.instance ? link->id.instance : "not proved";

  link->hub->counters.frames_bad++;
  if (result == MSG_LENGTH_INVALID)
    log_warn ("peer", "Bad length of a frame: peer=%s.", name);
  else
    log_warn ("peer", "Frame too large: peer=%s bytes=%u most=%zu.", name,
              length, max);
  link_close (link, "frame too large or of no length");
}

/* Handles the complete frames in the input and returns their size in bytes. */
static size_t
handle_frames (peer_link_t *link)
{
  size_t consumed = 0;

  while (link->state != LINK_CLOSED)
    {
      bool is_authenticated = link->state == LINK_AUTHENTICATED;
      bool is_short = is_authenticated && link->short_frames;
      size_t max = is_authenticated ? MSG_FRAME_MAX : PEER_MAX_HELLO_BYTES;
      const uint8_t *start = link->in->data + consumed;
      size_t available = link->in->len - consumed;
      uint32_t length = 0;
      size_t prefix;
      msg_length_t result
          = msg_parse_length (start, available, is_short, &length, &prefix);

      if (result == MSG_LENGTH_INCOMPLETE)
        break;
      if (result == MSG_LENGTH_INVALID || length > max)
        {
          reject_length (link, result, length, max);
          break;
        }
      if (available - prefix < length)
        break;
      handle_frame (link, start + prefix, length, prefix);
      consumed += prefix + length;
    }
  return consumed;
}

static void
consume_input (peer_link_t *link)
{
  size_t consumed = handle_frames (link);

  if (link->state == LINK_CLOSED || consumed == 0)
    return;
  if (consumed < link->in->len)
    {
      g_byte_array_remove_range (link->in, 0, consumed);
      return;
    }
  if (link->in->len > MAX_IDLE_BUFFER_BYTES)
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
  size_t total_read = 0;
  ssize_t received;

  while (link->state != LINK_CLOSED && total_read < MAX_READ_BYTES_PER_WAKEUP)
    {
      received = recv (link->fd, hub->read_buffer, sizeof hub->read_buffer, 0);
      if (received < 0 && (errno == EAGAIN || errno == EINTR))
        return;
      if (received <= 0)
        {
          link_close (link, received == 0 ? "closed by the other side"
                                          : "broken while read");
          return;
        }
      link->silent_since = clock_now ();
      g_byte_array_append (link->in, hub->read_buffer, received);
      consume_input (link);
      total_read += received;
      if ((size_t)received < sizeof hub->read_buffer)
        return;
    }
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  peer_link_t *link = watcher->data;

  /* The owner is notified of lost links before it gets frames of others.  */
  hub_notify_owner (link->hub);
  read_input (link);
  hub_notify_owner (link->hub);
}
