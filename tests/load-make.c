/* What the load's requests ask for.  */

#include "load-make.h"

unsigned
make_router (const load_plan_t *plan, GRand *random,
             const load_account_t *account)
{
  double left = g_rand_double (random);

  for (unsigned i = 0; i < plan->routers; i++)
    {
      left -= account->router_shares[i];
      if (left < 0)
        return i;
    }
  return 0;
}

load_kind_t
make_kind (GRand *random, const load_account_t *account)
{
  unsigned total = 0;

  for (unsigned i = 0; i < LOAD_KIND_COUNT; i++)
    total += account->kinds[i];
  unsigned left = (unsigned)g_rand_int_range (random, 0, (gint32)total);
  for (unsigned i = 0; i < LOAD_KIND_COUNT; i++)
    {
      if (left < account->kinds[i])
        return (load_kind_t)i;
      left -= account->kinds[i];
    }
  return LOAD_STREAM;
}

char *
make_body (const load_plan_t *plan, GRand *random, load_request_t *request)
{
  if (!load_kind_is_model (request->kind))
    return request->kind == LOAD_LOOKUP
               ? NULL
               : g_strdup_printf ("{\"nonce\":\"%s\"}", request->nonce);
  unsigned words = (unsigned)g_rand_int_range (random, 2, 24);
  unsigned hint
      = request->length * (unsigned)g_rand_int_range (random, 50, 300) / 100;
  if (plan->exact_hints)
    hint = request->length - 1;
  GString *prompt = g_string_new (NULL);

  g_string_append_printf (prompt, "nonce=%s length=%u", request->nonce,
                          request->length);
  if (plan->pad > 0)
    g_string_append_printf (prompt, " pad=%u", plan->pad);
  for (unsigned i = 0; i < words; i++)
    g_string_append (prompt, " ledger");
  request->prompt_tokens = (unsigned)(prompt->len / 4 + 1);
  char *body
      = request->kind == LOAD_COMPLETION
            ? g_strdup_printf ("{\"model\":\"%s\",\"stream\":true,"
                               "\"max_tokens\":%u,\"prompt\":\"%s\"}",
                               plan->model, hint + 1, prompt->str)
            : g_strdup_printf (
                "{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%u,"
                "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
                plan->model, request->kind == LOAD_STREAM ? "true" : "false",
                hint + 1, prompt->str);
  g_string_free (prompt, TRUE);
  return body;
}

char *
make_url (const load_plan_t *plan, const load_request_t *request)
{
  const char *base = plan->urls[request->router];

  switch (request->kind)
    {
    case LOAD_COMPLETION:
      return g_strconcat (base, "/v1/completions", NULL);
    case LOAD_LOOKUP:
      return g_strconcat (base, "/services/", plan->plain,
                          "/entries/7?nonce=", request->nonce, NULL);
    case LOAD_POST:
    case LOAD_POST_UNKEYED:
      return g_strconcat (base, "/services/", plan->plain, "/entries", NULL);
    default:
      return g_strconcat (base, "/v1/chat/completions", NULL);
    }
}
