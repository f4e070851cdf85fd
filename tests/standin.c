/* What the stand-ins for outside systems share.  */

#include "standin.h"
#include <ev.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <xxhash.h>

void
standin_format_token (char word[STANDIN_MAX_TOKEN_BYTES], uint64_t seed,
                      const char *nonce, unsigned index)
{
  if (index == 0)
    {
      g_snprintf (word, STANDIN_MAX_TOKEN_BYTES, "%.20s ", nonce);
      return;
    }
  uint64_t hash = XXH64 (nonce, strlen (nonce), seed + index);
  g_snprintf (word, STANDIN_MAX_TOKEN_BYTES, "%x ", (unsigned)(hash & 0xffff));
}

char *
standin_format_answer (uint64_t seed, const char *nonce, unsigned count)
{
  GString *text = g_string_new (NULL);
  char word[STANDIN_MAX_TOKEN_BYTES];

  for (unsigned i = 0; i < count; i++)
    {
      standin_format_token (word, seed, nonce, i);
      g_string_append (text, word);
    }
  return g_string_free (text, FALSE);
}

char *
standin_parse_field (const char *text, const char *name)
{
  g_autofree char *key = g_strconcat (name, "=", NULL);
  const char *start = strstr (text, key);

  if (start == NULL)
    return NULL;
  start += strlen (key);
  return g_strndup (start, strcspn (start, " \"\\&"));
}

JsonObject *
standin_parse_body (const web_request_t *request)
{
  size_t length = 0;
  const char *body = web_body (request, &length);
  g_autoptr (JsonParser) parser = json_parser_new ();

  if (!json_parser_load_from_data (parser, body, (gssize)length, NULL))
    return NULL;
  JsonNode *root = json_parser_get_root (parser);
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    return NULL;
  return json_object_ref (json_node_get_object (root));
}

void
standin_respond (web_request_t *request, unsigned status, JsonBuilder *builder)
{
  g_autoptr (JsonGenerator) generator = json_generator_new ();
  g_autoptr (JsonNode) root = json_builder_get_root (builder);
  gsize length = 0;

  json_generator_set_root (generator, root);
  g_autofree char *text = json_generator_to_data (generator, &length);
  web_respond (request, status, "application/json", NULL, text, length);
}

static void
on_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  ev_break (loop, EVBREAK_ALL);
}

void
standin_run (struct ev_loop *loop)
{
  ev_signal term;
  ev_signal interrupt;

  /* Without it a stand-in would outlive a test that was killed and keep its
     address taken.  */
  prctl (PR_SET_PDEATHSIG, SIGTERM);
  signal (SIGPIPE, SIG_IGN);
  ev_signal_init (&term, on_signal, SIGTERM);
  ev_signal_start (loop, &term);
  ev_signal_init (&interrupt, on_signal, SIGINT);
  ev_signal_start (loop, &interrupt);
  ev_run (loop, 0);
}
