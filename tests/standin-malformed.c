/* Endpoint stand-in in trouble: what it answers is mostly not HTTP/1.1.  A
   request names one of FORMS below as "form=NAME", in its path or body.  Other
   requests, such as those for the rest of an answer, get "zero".

     --listen IP:PORT   first address
     --ports N          number of addresses, at consecutive ports
     --id-field NAME    field of a request that its answer repeats
     --fields TEXT      further lines of its head, each ended by "\r\n"  */

#include "base/addr.h"
#include "relay/con.h"
#include "relay/rd.h"
#include "standin.h"
#include <string.h>
#include <sys/socket.h>

#define MAX_HEAD_BYTES 16384
#define MAX_PORTS 256
#define LATER_MS 40

#define SOUND "HTTP/1.1 200 OK\r\n%FContent-Length: 5\r\n\r\nsound"
#define BROKEN "Content-Length: 6\r\n\r\nbroken"
#define ZERO "HTTP/1.1 000 Z\r\n%F" BROKEN

typedef enum
{
  THEN_KEEP,
  THEN_CLOSE,
  THEN_RESET
} then_t;

typedef struct
{
  const char *name;
  const char *bytes; /* "%F" stands for the fields of each head */
  const char *later; /* sent LATER_MS after BYTES; NULL: none */
  then_t then;
} form_t;

static const form_t forms[] = {
  { "zero", ZERO, NULL, THEN_KEEP },
  { "zero-closed", ZERO, NULL, THEN_CLOSE },
  { "zero-reset", ZERO, NULL, THEN_RESET },
  { "zero-line", "HTTP/1.1 000\r\n\r\n", NULL, THEN_KEEP },
  { "zero-without-id", "HTTP/1.1 000 Z\r\n" BROKEN, NULL, THEN_KEEP },
  { "zero-http10", "HTTP/1.0 000 Z\r\n%F\r\nbroken", NULL, THEN_CLOSE },
  { "zero-until-close", "HTTP/1.1 000 Z\r\n%F\r\nbroken", NULL, THEN_CLOSE },
  { "zero-chunked",
    "HTTP/1.1 000 Z\r\n%FTransfer-Encoding: chunked\r\n\r\n"
    "6\r\nbroken\r\n0\r\n\r\n",
    NULL, THEN_KEEP },
  { "zero-events",
    "HTTP/1.1 000 Z\r\n%FContent-Type: text/event-stream\r\n\r\n"
    "id: 1\ndata: broken\n\n",
    NULL, THEN_CLOSE },
  { "zero-after-interim", "HTTP/1.1 103 E\r\n\r\n" ZERO, NULL, THEN_KEEP },
  { "zero-in-parts", "HTTP/1.1 0", "00 Z\r\n%F" BROKEN, THEN_KEEP },
  { "above-all", "HTTP/1.1 600 Z\r\n%F" BROKEN, NULL, THEN_KEEP },
  { "zero-before-sound", ZERO SOUND, NULL, THEN_KEEP },
  { "zero-after-sound", SOUND ZERO, NULL, THEN_KEEP },
  { "zero-later", SOUND, ZERO, THEN_KEEP },
  { "sound", SOUND, NULL, THEN_KEEP },
  { "sound-in-parts", "HTTP/1.1 2",
    "00 OK\r\n%FContent-Length: 5\r\n\r\nsound", THEN_KEEP },
  { "sound-in-chunks",
    "HTTP/1.1 200 OK\r\n%FTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nsound\r\n0\r\n\r\n",
    NULL, THEN_KEEP },
  /* Its caller asks for the rest.  */
  { "sound-event",
    "HTTP/1.1 200 OK\r\n%FContent-Type: text/event-stream\r\n\r\n"
    "id: 1\ndata: sound\n\n",
    NULL, THEN_RESET },
};

typedef struct
{
  struct ev_loop *loop;
  char *id_field;
  char *fields;
  ev_io listeners[MAX_PORTS];
} standin_t;

typedef struct
{
  standin_t *standin;
  con_t *con;
  rd_t *rd;
  GString *request; /* its target and body */
  char *id;
  bool is_head;
  bool resumes;
  const form_t *late_form; /* whose second part TIMER sends */
  ev_timer timer;
} connection_t;

static void
connection_free (connection_t *connection)
{
  ev_timer_stop (connection->standin->loop, &connection->timer);
  con_free (connection->con);
  rd_free (connection->rd);
  g_string_free (connection->request, TRUE);
  g_free (connection->id);
  g_free (connection);
}

static const form_t *
choose_form (const connection_t *connection)
{
  g_autofree char *name
      = standin_parse_field (connection->request->str, "form");

  for (size_t i = 0; !connection->resumes && i < G_N_ELEMENTS (forms); i++)
    if (g_strcmp0 (forms[i].name, name) == 0)
      return &forms[i];
  return &forms[0];
}

static void
write_text (connection_t *connection, const char *text)
{
  const standin_t *standin = connection->standin;
  g_autoptr (GString) bytes = g_string_new (text);
  g_autofree char *fields
      = connection->id != NULL ? g_strdup_printf (
            "%s: %s\r\n%s", standin->id_field, connection->id, standin->fields)
                               : g_strdup (standin->fields);

  g_string_replace (bytes, "%F", fields, 0);
  /* What answers HEAD has no body.  */
  if (connection->is_head && g_str_has_prefix (text, "HTTP/1.1 200"))
    g_string_truncate (
        bytes, (gsize)(strstr (bytes->str, "\r\n\r\n") - bytes->str + 4));
  con_write (connection->con, bytes->str, bytes->len);
}

/* Ends the connection, or keeps it.  */
static void
end_answer (connection_t *connection, then_t then)
{
  switch (then)
    {
    case THEN_KEEP:
      return;
    case THEN_CLOSE:
      con_shutdown_after_flush (connection->con);
      return;
    case THEN_RESET:
      con_abort (connection->con);
      connection->con = NULL;
      connection_free (connection);
      return;
    }
}

static void
on_later (struct ev_loop *loop, ev_timer *timer, int events)
{
  connection_t *connection = timer->data;

  write_text (connection, connection->late_form->later);
  end_answer (connection, connection->late_form->then);
}

static void
answer (connection_t *connection)
{
  const form_t *form = choose_form (connection);

  write_text (connection, form->bytes);
  g_string_truncate (connection->request, 0);
  rd_reset (connection->rd);
  if (form->later == NULL)
    {
      end_answer (connection, form->then);
      return;
    }
  if (ev_is_active (&connection->timer))
    return;
  connection->late_form = form;
  ev_timer_set (&connection->timer, LATER_MS / 1000., 0.);
  ev_timer_start (connection->standin->loop, &connection->timer);
}

static bool
on_head (void *user, rd_head_t *head)
{
  connection_t *connection = user;

  g_free (connection->id);
  connection->id
      = g_strdup (hdr_get (&head->fields, connection->standin->id_field));
  connection->is_head = strcmp (head->method, "HEAD") == 0;
  connection->resumes = hdr_get (&head->fields, "Last-Event-Id") != NULL;
  g_string_append_printf (connection->request, "%s ", head->target);
  return true;
}

static void
on_body (void *user, const char *bytes, size_t length)
{
  g_string_append_len (((connection_t *)user)->request, bytes, (gssize)length);
}

static void
on_bytes (void *user, const char *bytes, size_t length)
{
  connection_t *connection = user;
  size_t used = 0;

  if (rd_feed (connection->rd, bytes, length, &used) == RD_COMPLETE)
    answer (connection);
}

static void
on_ended (void *user, con_end_t end)
{
  connection_free (user);
}

static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  static const con_ops_t ops = { .bytes = on_bytes, .ended = on_ended };
  static const rd_ops_t reader = { on_head, on_body };
  int fd = accept4 (watcher->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  connection_t *connection;

  if (fd < 0)
    return;
  connection = g_new0 (connection_t, 1);
  connection->standin = watcher->data;
  connection->request = g_string_new (NULL);
  connection->rd = rd_new (RD_REQUESTS, MAX_HEAD_BYTES, &reader, connection);
  ev_timer_init (&connection->timer, on_later, 0., 0.);
  connection->timer.data = connection;
  connection->con = con_new_accepted (loop, fd, &ops, connection);
}

/* Listens on COUNT ports from that of ADDRESS on.  */
static bool
open_ports (standin_t *standin, const char *address, int count, GError **error)
{
  g_auto (GStrv) parts = g_strsplit (address, ":", 2);
  int first = (int)g_ascii_strtoll (parts[1], NULL, 10);

  for (int i = 0; i < count; i++)
    {
      g_autofree char *next = g_strdup_printf ("%s:%d", parts[0], first + i);
      int fd = addr_listen (next, error);

      if (fd < 0)
        return false;
      listen (fd, SOMAXCONN);
      ev_io_init (&standin->listeners[i], on_accept, fd, EV_READ);
      standin->listeners[i].data = standin;
      ev_io_start (standin->loop, &standin->listeners[i]);
    }
  return true;
}

int
main (int argc, char **argv)
{
  g_autofree char *address = NULL;
  g_autofree char *id_field = g_strdup ("X-Request-Id");
  g_autofree char *fields = g_strdup ("");
  int ports = 1;
  const GOptionEntry options[]
      = { { "listen", 0, 0, G_OPTION_ARG_STRING, &address, "First address",
            "IP:PORT" },
          { "ports", 0, 0, G_OPTION_ARG_INT, &ports, "Number of addresses",
            "N" },
          { "id-field", 0, 0, G_OPTION_ARG_STRING, &id_field,
            "Field that answers repeat", "NAME" },
          { "fields", 0, 0, G_OPTION_ARG_STRING, &fields,
            "Further lines of each head", "TEXT" },
          { NULL, 0, 0, 0, NULL, NULL, NULL } };
  g_autoptr (GOptionContext) context = g_option_context_new ("");
  g_autoptr (GError) error = NULL;
  standin_t standin = { .loop = ev_loop_new (EVFLAG_AUTO) };

  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error)
      || address == NULL || strchr (address, ':') == NULL || ports < 1
      || ports > MAX_PORTS)
    {
      g_printerr ("malformed: %s\n",
                  error != NULL ? error->message : "see --help");
      return 2;
    }
  standin.id_field = id_field;
  standin.fields = fields;
  if (!open_ports (&standin, address, ports, &error))
    {
      g_printerr ("malformed: %s\n", error->message);
      return 2;
    }
  standin_run (standin.loop);
  return 0;
}
