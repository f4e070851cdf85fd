/* libFuzzer target for HTTP that arrives: heads and bodies of callers'
   requests and endpoints' answers, event streams, and what callers' fields
   hold.  Each input is read whole and in pieces, which must give the same.

     CC=clang meson setup build-fuzz -Dfuzz=true
     ninja -C build-fuzz tests/fuzz-http
     build-fuzz/tests/fuzz-http -max_total_time=60 \
       -artifact_prefix=build-fuzz/  */

#include "http/syn.h"
#include "relay/evs.h"
#include "relay/pfx.h"
#include "relay/rd.h"

#include <stdlib.h>
#include <string.h>

#define MAX_HEAD_BYTES 512
#define MAX_NUMBER 100.

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check (bool holds)
{
  if (!holds)
    abort ();
}

/* ---- messages ---- */

static bool
is_field (const char *name, const char *value)
{
  g_autofree char *line = g_strdup_printf ("%s:%s", name, value);

  return syn_is_field (line, strlen (line))
         && syn_is_name (name, strlen (name));
}

static bool
on_head (void *user, rd_head_t *head)
{
  GString *out = user;

  g_string_append_printf (out, "[%s %s %u %d %d %" G_GINT64_FORMAT "]",
                          head->method != NULL ? head->method : "",
                          head->target != NULL ? head->target : "",
                          head->status, head->keep_alive, (int)head->framing,
                          head->length);
  for (guint i = 0; i < hdr_count (&head->fields); i++)
    {
      const char *value = hdr_get_value (&head->fields, i);
      double number = hdr_parse_number (value, MAX_NUMBER, 1.);
      g_autoptr (pfx_prompt_t) prompt = pfx_prompt_parse (value);

      check (is_field (hdr_get_name (&head->fields, i), value));
      check (number >= 0. && number <= MAX_NUMBER);
      check (
          prompt == NULL
          || (prompt->tokens <= PFX_MAX_TOKENS
              && prompt->parts->len <= PFX_MAX_PARTS
              && pfx_prompt_count_shared_tokens (prompt) <= prompt->tokens));
      hdr_append_line (out, hdr_get_name (&head->fields, i), value);
      (void)hdr_is_hop_by_hop (&head->fields, i);
    }
  return true;
}

static bool
on_response_head (void *user, rd_head_t *head)
{
  check (syn_is_status (head->status) && head->status >= 200);
  return on_head (user, head);
}

static void
on_body (void *user, const char *bytes, size_t length)
{
  g_string_append_len (user, bytes, (gssize)length);
}

/* Reads BYTES in pieces of PIECE bytes, and returns a transcript.  */
static GString *
read_messages (rd_kind_t kind, const char *bytes, size_t length, size_t piece)
{
  const rd_ops_t ops
      = { kind == RD_RESPONSES ? on_response_head : on_head, on_body };
  GString *out = g_string_new (NULL);
  g_autoptr (rd_t) rd = rd_new (kind, MAX_HEAD_BYTES, &ops, out);

  while (length > 0)
    {
      size_t used = 0;
      rd_result_t result = rd_feed (rd, bytes, MIN (piece, length), &used);

      if (result != RD_INCOMPLETE && result != RD_COMPLETE)
        break;
      check (used <= MIN (piece, length));
      bytes += used;
      length -= used;
      if (result == RD_COMPLETE)
        {
          g_string_append_c (out, '|');
          rd_reset (rd);
        }
    }
  return out;
}

static void
compare_messages (rd_kind_t kind, const char *bytes, size_t length,
                  size_t piece)
{
  GString *whole = read_messages (kind, bytes, length, length);
  GString *pieces = read_messages (kind, bytes, length, piece);

  check (g_string_equal (whole, pieces));
  g_string_free (whole, TRUE);
  g_string_free (pieces, TRUE);
}

/* ---- event streams ---- */

static GString *
read_events (const char *bytes, size_t length, size_t piece)
{
  GString *out = g_string_new (NULL);
  evs_t stream;

  evs_init (&stream);
  for (size_t at = 0; at < length; at += piece)
    evs_feed (&stream, bytes + at, MIN (piece, length - at), out);
  g_string_append_printf (out, "|%u %" G_GINT64_FORMAT "|", stream.events,
                          stream.last_id);
  evs_flush (&stream, out);
  evs_clear (&stream);
  return out;
}

static void
compare_events (const char *bytes, size_t length, size_t piece)
{
  GString *whole = read_events (bytes, length, length);
  GString *pieces = read_events (bytes, length, piece);

  check (g_string_equal (whole, pieces));
  g_string_free (whole, TRUE);
  g_string_free (pieces, TRUE);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const char *bytes = (const char *)data + 1;
  size_t piece;

  if (size < 2)
    return 0;
  piece = 1 + data[0] / 3;
  switch (data[0] % 3)
    {
    case 0:
      compare_messages (RD_REQUESTS, bytes, size - 1, piece);
      break;
    case 1:
      compare_messages (RD_RESPONSES, bytes, size - 1, piece);
      break;
    default:
      compare_events (bytes, size - 1, piece);
      break;
    }
  return 0;
}
