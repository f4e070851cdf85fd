/* The model engine behind the stand-in's HTTP.  */

#include "engine.h"
#include "standin.h"
#include <string.h>

#define PREFILL_BASE_MS 4.0
#define PREFILL_TOKEN_MS 0.05
#define COLD_FACTOR 4.0
#define PAD_MAX 16384

struct engine
{
  engine_settings_t settings;
  engine_counters_t counters;
  cfd_time_t cold_until;
  cfd_time_t grace_until;
  cfd_time_t accounted;
  double slowness; /* factor of each step's length */
  unsigned running;
  list_node_t runs;
  GHashTable *nonces;
};

engine_t *
engine_new (const engine_settings_t *settings, cfd_time_t now)
{
  engine_t *engine = g_new0 (engine_t, 1);

  engine->settings = *settings;
  engine->cold_until = now + settings->cold_ms;
  engine->accounted = now;
  engine->slowness = 1;
  engine->nonces
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  list_init (&engine->runs);
  return engine;
}

static void
run_free (engine_run_t *run)
{
  list_remove (&run->node);
  g_string_free (run->body, TRUE);
  g_free (run->id);
  g_free (run->nonce);
  g_free (run);
}

void
engine_free (engine_t *engine)
{
  list_for_each_safe (node, &engine->runs)
    run_free (list_entry (node, engine_run_t, node));
  g_hash_table_unref (engine->nonces);
  g_free (engine);
}

bool
engine_is_cold (const engine_t *engine, cfd_time_t now)
{
  return now < engine->cold_until;
}

unsigned
engine_get_capacity (const engine_t *engine, cfd_time_t now)
{
  return engine_is_cold (engine, now) ? engine->settings.slots_cold
                                      : engine->settings.slots;
}

/* Adds the time since the last call to the integrals.  */
static void
account_time (engine_t *engine, cfd_time_t now)
{
  double span = (double)(now - engine->accounted);

  engine->counters.busy_ms += span * engine->running;
  if (engine->running > engine_get_capacity (engine, engine->accounted))
    engine->counters.overload_ms += span;
  engine->accounted = now;
}

void
engine_set_step_factor (engine_t *engine, double factor)
{
  engine->slowness = factor;
}

void
engine_set_cold (engine_t *engine, cfd_time_t now)
{
  account_time (engine, now);
  engine->cold_until = now + engine->settings.cold_ms;
  engine->grace_until = now + ENGINE_OVERLOAD_GRACE_MS;
}

static void
count_start (engine_t *engine, const char *nonce, cfd_time_t now)
{
  engine_counters_t *counters = &engine->counters;
  gpointer times = g_hash_table_lookup (engine->nonces, nonce);

  g_hash_table_insert (engine->nonces, g_strdup (nonce),
                       GUINT_TO_POINTER (GPOINTER_TO_UINT (times) + 1));
  counters->requests++;
  counters->last_start = now;
  counters->peak = MAX (counters->peak, engine->running);
  if (engine->running <= engine_get_capacity (engine, now))
    return;
  if (now < engine->grace_until)
    {
      counters->overload_in_grace++;
      return;
    }
  counters->overload_count++;
  counters->overload_running = engine->running;
  counters->overload_bearable = engine_get_capacity (engine, now);
  if (engine->grace_until > 0)
    counters->overload_cold
        = now - (engine->grace_until - ENGINE_OVERLOAD_GRACE_MS);
}

engine_run_t *
engine_start (engine_t *engine, const char *id, const char *prompt,
              bool stream, bool chat, cfd_time_t now)
{
  g_autofree char *length = standin_parse_field (prompt, "length");
  g_autofree char *pad = standin_parse_field (prompt, "pad");
  engine_run_t *run = g_new0 (engine_run_t, 1);

  account_time (engine, now);
  run->id = g_strdup (id);
  run->nonce = standin_parse_field (prompt, "nonce");
  if (run->nonce == NULL)
    run->nonce = g_strdup ("none");
  run->stream = stream;
  run->chat = chat;
  run->prompt_tokens = (unsigned)(strlen (prompt) / 4 + 1);
  run->length = length ? (unsigned)g_ascii_strtoull (length, NULL, 10) : 16;
  run->length = CLAMP (run->length, 1, 100000);
  run->pad = pad ? (unsigned)g_ascii_strtoull (pad, NULL, 10) : 0;
  run->pad = MIN (run->pad, PAD_MAX);
  run->ended = CFD_TIME_NEVER;
  run->started = now;
  run->prefilled = now
                   + (cfd_time_t)(PREFILL_BASE_MS
                                  + PREFILL_TOKEN_MS * run->prompt_tokens);
  run->body = g_string_new (NULL);
  list_append (&engine->runs, &run->node);
  engine->running++;
  engine->counters.prompt_tokens += run->prompt_tokens;
  count_start (engine, run->nonce, now);
  return run;
}

static void
run_end (engine_t *engine, engine_run_t *run, cfd_time_t now)
{
  account_time (engine, now);
  run->ended = now;
  engine->running--;
}

void
engine_cancel (engine_t *engine, engine_run_t *run, cfd_time_t now)
{
  if (run->ended == CFD_TIME_NEVER)
    run_end (engine, run, now);
  run->sink = NULL;
}

engine_run_t *
engine_find_run (engine_t *engine, const char *id)
{
  list_for_each (node, &engine->runs)
    {
      engine_run_t *run = list_entry (node, engine_run_t, node);
      if (strcmp (run->id, id) == 0)
        return run;
    }
  return NULL;
}

/* One streamed token as a server-sent event.  "t" is the time it was given,
   in microseconds since boot: the caller, on the same machine, can tell how
   long it was on its way.  */
static void
append_event (GString *text, const engine_run_t *run, const char *word)
{
  g_string_append_printf (text,
                          "data: {\"id\":\"%s\",\"t\":%" G_GINT64_FORMAT ",",
                          run->id, clock_now_us ());
  if (run->chat)
    g_string_append_printf (text,
                            "\"object\":\"chat.completion.chunk\","
                            "\"choices\":[{\"index\":0,\"delta\":{"
                            "\"content\":\"%s\"}}]}\n\n",
                            word);
  else
    g_string_append_printf (text,
                            "\"object\":\"text_completion\",\"choices\":"
                            "[{\"index\":0,\"text\":\"%s\"}]}\n\n",
                            word);
}

static void
append_usage (GString *text, const engine_run_t *run)
{
  g_string_append_printf (
      text,
      "\"usage\":{\"prompt_tokens\":%u,\"completion_tokens\":%u,"
      "\"total_tokens\":%u}}",
      run->prompt_tokens, run->given, run->prompt_tokens + run->given);
}

/* The whole answer of a request that doesn't stream.  */
static void
append_whole (engine_t *engine, GString *text, const engine_run_t *run)
{
  g_autofree char *answer
      = standin_format_answer (engine->settings.seed, run->nonce, run->length);

  if (run->chat)
    g_string_append_printf (text,
                            "{\"id\":\"%s\",\"object\":\"chat.completion\","
                            "\"choices\":[{\"index\":0,\"message\":{\"role\":"
                            "\"assistant\",\"content\":\"%s\"},"
                            "\"finish_reason\":\"stop\"}],",
                            run->id, answer);
  else
    g_string_append_printf (text,
                            "{\"id\":\"%s\",\"object\":\"text_completion\","
                            "\"choices\":[{\"index\":0,\"text\":\"%s\","
                            "\"finish_reason\":\"stop\"}],",
                            run->id, answer);
  append_usage (text, run);
}

/* Gives RUN its next token; the piece of its body that came of it is what was
   added to it.  */
static void
run_give (engine_t *engine, engine_run_t *run, cfd_time_t now)
{
  char word[STANDIN_MAX_TOKEN_BYTES];

  standin_format_token (word, engine->settings.seed, run->nonce, run->given);
  run->given++;
  engine->counters.output_tokens++;
  if (run->stream)
    append_event (run->body, run, word);
  if (run->given < run->length)
    return;
  run_end (engine, run, now);
  if (!run->stream)
    {
      append_whole (engine, run->body, run);
      return;
    }
  g_string_append_printf (run->body,
                          "data: {\"id\":\"%s\",\"started\":%" G_GINT64_FORMAT
                          ",\"choices\":[],",
                          run->id, run->started);
  append_usage (run->body, run);
  g_string_append (run->body, "\n\ndata: [DONE]\n\n");
}

static double
step_length (const engine_t *engine, cfd_time_t now)
{
  unsigned bearable = engine_get_capacity (engine, now);
  double load = (double)engine->running / bearable;
  double length = engine->settings.step_ms * engine->slowness
                  * (1 + 0.5 * MIN (load, 1));

  if (load > 1)
    length *= load * load;
  return engine_is_cold (engine, now) ? length * COLD_FACTOR : length;
}

double
engine_step (engine_t *engine, cfd_time_t now,
             void (*given) (void *user, engine_run_t *run, const char *bytes,
                            size_t length),
             void *user)
{
  list_for_each_safe (node, &engine->runs)
    {
      engine_run_t *run = list_entry (node, engine_run_t, node);
      if (run->ended != CFD_TIME_NEVER)
        {
          if (run->sink == NULL && now > run->ended + ENGINE_RESUME_WINDOW_MS)
            run_free (run);
          continue;
        }
      if (now < run->prefilled)
        continue;
      size_t before = run->body->len;
      run_give (engine, run, now);
      given (user, run, run->body->str + before, run->body->len - before);
    }
  return step_length (engine, now);
}

unsigned
engine_count_running (const engine_t *engine)
{
  return engine->running;
}

const engine_counters_t *
engine_get_counters (engine_t *engine, cfd_time_t now)
{
  account_time (engine, now);
  return &engine->counters;
}

GHashTable *
engine_get_nonces (engine_t *engine)
{
  return engine->nonces;
}

list_node_t *
engine_get_runs (engine_t *engine)
{
  return &engine->runs;
}
