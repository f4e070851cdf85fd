/* Relay between pairs of addresses: adds a one-way delay to the bytes of TCP
   connections and breaks them on demand.  One process serves many mappings,
   each of a named group.

     --map GROUP,LISTEN,TARGET,DELAY_MS   may be repeated
     --control IP:PORT
     PUT /control {"group": NAME, "mode": "pass"|"cut"|"silent"|"hole"}

   "cut" closes open connections and each new one at once; "silent" lets open
   connections go silent for good while new ones work; "hole" is silent for
   new ones too, until "pass".  */

#include "relay.h"
#include "standin.h"
#include <arpa/inet.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

typedef enum
{
  MODE_PASS,
  MODE_CUT,
  MODE_SILENT,
  MODE_HOLE
} relay_mode_t;

typedef struct
{
  char *group;
  struct sockaddr_in target;
  lane_t *lane;
  bool hole;
  bool cut;
  ev_io accept;
  list_node_t pairs;
  struct ev_loop *loop;
} map_t;

static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  map_t *map = watcher->data;
  int near = accept (watcher->fd, NULL, NULL);

  if (near < 0)
    return;
  if (map->cut)
    {
      close (near);
      return;
    }
  pair_start (loop, map->lane, near, &map->target, map->hole, &map->pairs);
}

static bool
parse_address (const char *text, struct sockaddr_in *address)
{
  g_auto (GStrv) parts = g_strsplit (text, ":", 2);

  memset (address, 0, sizeof *address);
  if (g_strv_length (parts) != 2
      || inet_pton (AF_INET, parts[0], &address->sin_addr) != 1)
    return false;
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t)strtoul (parts[1], NULL, 10));
  return true;
}

static map_t *
map_new (struct ev_loop *loop, GPtrArray *lanes, const char *text)
{
  g_auto (GStrv) parts = g_strsplit (text, ",", 4);
  struct sockaddr_in listen_on;
  int on = 1;

  if (g_strv_length (parts) != 4 || !parse_address (parts[1], &listen_on))
    return NULL;
  map_t *map = g_new0 (map_t, 1);
  map->loop = loop;
  map->group = g_strdup (parts[0]);
  map->lane = lane_get (loop, lanes,
                        (int64_t)(g_ascii_strtod (parts[3], NULL) * 1000));
  list_init (&map->pairs);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0 || !parse_address (parts[2], &map->target)
      || setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) < 0
      || bind (fd, (struct sockaddr *)&listen_on, sizeof listen_on) < 0
      || listen (fd, 1024) < 0)
    {
      if (fd >= 0)
        close (fd);
      g_free (map->group);
      g_free (map);
      return NULL;
    }
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
  ev_io_init (&map->accept, on_accept, fd, EV_READ);
  map->accept.data = map;
  ev_io_start (loop, &map->accept);
  return map;
}

static void
map_set_mode (map_t *map, relay_mode_t mode)
{
  map->cut = mode == MODE_CUT;
  map->hole = mode == MODE_HOLE;
  if (mode == MODE_CUT)
    pair_cut_all (&map->pairs);
  else if (mode != MODE_PASS)
    pair_silence_all (&map->pairs);
}

static bool
parse_mode (const char *text, relay_mode_t *mode)
{
  static const char *const names[] = { "pass", "cut", "silent", "hole" };

  for (unsigned i = 0; i < G_N_ELEMENTS (names); i++)
    if (g_strcmp0 (text, names[i]) == 0)
      {
        *mode = (relay_mode_t)i;
        return true;
      }
  return false;
}

static void
on_control (void *user, web_request_t *request)
{
  GPtrArray *maps = user;
  g_autoptr (JsonObject) order = standin_parse_body (request);
  g_autoptr (JsonBuilder) reply = json_builder_new ();
  relay_mode_t mode = MODE_PASS;
  unsigned matched = 0;
  const char *group
      = order ? json_object_get_string_member_with_default (order, "group", "")
              : "";

  if (order != NULL
      && parse_mode (
          json_object_get_string_member_with_default (order, "mode", ""),
          &mode))
    for (guint i = 0; i < maps->len; i++)
      {
        map_t *map = maps->pdata[i];
        if (strcmp (map->group, group) != 0)
          continue;
        map_set_mode (map, mode);
        matched++;
      }
  json_builder_begin_object (reply);
  json_builder_set_member_name (reply, "mappings");
  json_builder_add_int_value (reply, matched);
  json_builder_end_object (reply);
  standin_respond (request, matched > 0 ? 200 : 400, reply);
}

int
main (int argc, char **argv)
{
  g_auto (GStrv) texts = NULL;
  g_autofree char *control = NULL;
  const GOptionEntry entries[]
      = { { "map", 0, 0, G_OPTION_ARG_STRING_ARRAY, &texts,
            "GROUP,LISTEN,TARGET,DELAY_MS", "MAP" },
          { "control", 0, 0, G_OPTION_ARG_STRING, &control,
            "address of the control requests", "IP:PORT" },
          { NULL } };
  g_autoptr (GError) error = NULL;
  g_autoptr (GOptionContext) context = g_option_context_new (NULL);
  g_autoptr (GPtrArray) maps = g_ptr_array_new ();
  g_autoptr (GPtrArray) lanes = g_ptr_array_new ();
  struct ev_loop *loop = ev_default_loop (0);

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error)
      || control == NULL)
    {
      g_printerr ("relay: %s\n", error ? error->message : "give --control");
      return 2;
    }
  for (unsigned i = 0; texts != NULL && texts[i] != NULL; i++)
    {
      map_t *map = map_new (loop, lanes, texts[i]);
      if (map == NULL)
        {
          g_printerr ("relay: can't use the mapping %s\n", texts[i]);
          return 2;
        }
      g_ptr_array_add (maps, map);
    }
  const web_limits_t limits
      = { .max_body_bytes = 65536, .connections = 100, .idle_timeout_s = 600 };
  g_autoptr (web_server_t) server
      = web_server_new (loop, control, &limits, on_control, maps, &error);
  if (server == NULL)
    {
      g_printerr ("relay: %s\n", error->message);
      return 2;
    }
  standin_run (loop);
  return 0;
}
