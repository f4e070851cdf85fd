/* Mechanisms: names and descriptions.  */

#include "relay/mech.h"

#include "base/err.h"

typedef struct
{
  const char *name;
  mech_t bit;
  const char *description;
} mech_row_t;

static const mech_row_t mechanisms[] = {
  { "prefix-fetch", MECH_PREFIX_FETCH,
    "an endpoint copies a cached prefix from another one" },
  { "prefix-affinity", MECH_PREFIX_AFFINITY,
    "requests with a common prefix go to the same endpoints" },
  { "prefix-wait", MECH_PREFIX_WAIT,
    "a request waits for an endpoint that caches its prefix" },
  { "throttle", MECH_THROTTLE,
    "accounts above the fair level leave part of the capacity to others" },
  { "late-last", MECH_LATE_LAST,
    "requests past their target latency go last" },
  { "early-reject", MECH_EARLY_REJECT,
    "a request that can't be in time behind its account's queue is refused "
    "on arrival" },
  { "zone-cost", MECH_ZONE_COST,
    "endpoints in the router's own availability zone are preferred" },
  { "reject-pause", MECH_REJECT_PAUSE,
    "an endpoint that rejects requests gets a short pause" },
  { "load-readiness", MECH_LOAD_READINESS,
    "a router that can't accept all connections, or is late, reports that "
    "it isn't ready" },
  { "load-shedding", MECH_LOAD_SHEDDING,
    "a router without processor time refuses some new requests at once" },
  { "pause-limit", MECH_PAUSE_LIMIT,
    "an endpoint gets no more prefill work than the pauses of its streams "
    "allow" },
  { "endpoint-speed", MECH_ENDPOINT_SPEED,
    "estimates for an endpoint account for its measured speed" },
  { "load-balance", MECH_LOAD_BALANCE,
    "a busy router leaves the rotation while much stronger ones of its zone "
    "have time for its callers" },
  { "peer-updates", MECH_PEER_UPDATES,
    "changes of the store's lists come from the router that read them" },
};

static const mech_row_t *
find_mechanism (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (mechanisms); i++)
    if (g_str_equal (mechanisms[i].name, name))
      return &mechanisms[i];
  return NULL;
}

bool
mech_parse (const char *names, unsigned *bits, GError **error)
{
  g_auto (GStrv) words = g_strsplit (names != NULL ? names : "", ",", -1);

  *bits = 0;
  for (char **word = words; *word != NULL; word++)
    {
      const mech_row_t *row = find_mechanism (g_strstrip (*word));

      if (row == NULL)
        {
          g_set_error (error, CFD_ERROR, CFD_ERROR_SETTING,
                       "No mechanism is called \"%s\"; see --help for their "
                       "names",
                       *word);
          return false;
        }
      *bits |= row->bit;
    }
  return true;
}

char *
mech_help (void)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < G_N_ELEMENTS (mechanisms); i++)
    g_string_append_printf (text, "  %s: %s\n", mechanisms[i].name,
                            mechanisms[i].description);
  return g_string_free (text, FALSE);
}
