#include "base/settings.h"

#include "base/addr.h"
#include "base/err.h"
#include "base/log.h"
#include "libcoltsfootdrum.h"
#include <sodium.h>
#include <stddef.h>
#include <string.h>

#define MIN_SECRET_BYTES 16u
#define MAX_SECRET_BYTES 1024u
#define MAX_NAME_BYTES 255u
#define MAX_DURATION_S 86400
#define MAX_CLAIM_RETENTION_S 2592000
#define MAX_CLAIM_CALLS_PER_S 1000

typedef enum
{
  FOR_ROUTER = 1,
  FOR_AGENT = 2,
  FOR_BOTH = FOR_ROUTER | FOR_AGENT
} setting_roles_t;

typedef struct setting setting_t;

struct setting
{
  const char *flag;
  const char *argument;     /* placeholder in the help; NULL for a switch */
  const char *default_text; /* NULL when required */
  setting_roles_t roles;
  /* Validates TEXT and stores its value at OUT; false when it is invalid.  */
  bool (*parse) (const char *text, void *out);
  size_t offset;      /* of the value in cfd_settings_t */
  bool is_secret;     /* the value must never be printed */
  const char *help;   /* one-line description */
  const char *remedy; /* describes valid values */
};

static bool
store_text (const char *text, char **out)
{
  g_free (*out);
  *out = g_strdup (text);
  return true;
}

static bool
parse_name (const char *text, void *out)
{
  static const char allowed[] = G_CSET_A_2_Z G_CSET_a_2_z G_CSET_DIGITS "._-";
  size_t length = strlen (text);

  return length > 0 && length <= MAX_NAME_BYTES && g_ascii_isalnum (text[0])
         && strspn (text, allowed) == length && store_text (text, out);
}

static bool
is_address (const char *text)
{
  addr_t addr;

  return addr_parse (text, &addr, NULL) && !g_str_has_suffix (text, ":0");
}

static bool
parse_address (const char *text, void *out)
{
  return is_address (text) && store_text (text, out);
}

static bool
parse_url (const char *text, void *out)
{
  static const char scheme[] = "http://";

  return g_str_has_prefix (text, scheme) && is_address (text + strlen (scheme))
         && store_text (text, out);
}

static bool
parse_secret (const char *text, void *out)
{
  size_t length = strlen (text);

  return length >= MIN_SECRET_BYTES && length <= MAX_SECRET_BYTES
         && store_text (text, out);
}

static bool
parse_level (const char *text, void *out)
{
  log_level_t level;

  return log_level_parse (text, &level, NULL) && store_text (text, out);
}

static bool
parse_seconds (const char *text, void *out)
{
  gint64 seconds;

  if (!g_ascii_string_to_signed (text, 10, 1, MAX_DURATION_S, &seconds, NULL))
    return false;
  *(int *)out = (int)seconds;
  return true;
}

static bool
parse_claim_retention (const char *text, void *out)
{
  gint64 seconds;

  if (!g_ascii_string_to_signed (text, 10, 0, MAX_CLAIM_RETENTION_S, &seconds,
                                 NULL))
    return false;
  *(int *)out = (int)seconds;
  return true;
}

static bool
parse_claim_calls (const char *text, void *out)
{
  gint64 calls;

  if (!g_ascii_string_to_signed (text, 10, 1, MAX_CLAIM_CALLS_PER_S, &calls,
                                 NULL))
    return false;
  *(int *)out = (int)calls;
  return true;
}

static bool
parse_policy (const char *text, void *out)
{
  cfd_policy_t *policy = out;

  if (strcmp (text, "fleet") == 0)
    *policy = CFD_POLICY_FLEET;
  else if (strcmp (text, "local") == 0)
    *policy = CFD_POLICY_LOCAL;
  else
    return false;
  return true;
}

static bool
parse_switch (const char *text, void *out)
{
  static const char *const on[] = { "true", "1", "yes", NULL };
  static const char *const off[] = { "false", "0", "no", NULL };

  *(bool *)out = g_strv_contains (on, text);
  return *(bool *)out || g_strv_contains (off, text);
}

#define NAME_REMEDY                                                           \
  "use 1 to 255 letters, digits, dots, dashes or underscores, the first a "   \
  "letter or digit"
#define ADDRESS_REMEDY                                                        \
  "use a numeric IP:PORT as in 127.0.0.1:8080, with a port other than 0"
#define SECONDS_REMEDY "use whole seconds from 1 to 86400"
#define SWITCH_REMEDY "use true or false"
#define FIELD_OFFSET(member) offsetof (cfd_settings_t, member)

static const setting_t settings[] = {
  { "instance", "NAME", NULL, FOR_BOTH, parse_name, FIELD_OFFSET (instance),
    false, "Name of this process in the platform's list of instances",
    NAME_REMEDY },
  { "zone", "NAME", NULL, FOR_BOTH, parse_name, FIELD_OFFSET (zone), false,
    "Availability zone of this process", NAME_REMEDY },
  { "platform", "URL", NULL, FOR_BOTH, parse_url, FIELD_OFFSET (platform),
    false, "The platform's object API",
    "use http://IP:PORT as in http://127.0.0.1:7000, with nothing after it" },
  { "peer-listen", "IP:PORT", NULL, FOR_BOTH, parse_address,
    FIELD_OFFSET (peer_listen), false,
    "Accepts links of the fleet's own processes", ADDRESS_REMEDY },
  { "admin-listen", "IP:PORT", NULL, FOR_BOTH, parse_address,
    FIELD_OFFSET (admin_listen), false,
    "Serves /healthz, /readyz, /metrics, /status and /events",
    ADDRESS_REMEDY },
  { "listen", "IP:PORT", NULL, FOR_ROUTER, parse_address,
    FIELD_OFFSET (listen), false, "Accepts callers' requests",
    ADDRESS_REMEDY },
  { "endpoint", "NAME", NULL, FOR_AGENT, parse_name, FIELD_OFFSET (endpoint),
    false, "Record of the endpoint that this agent feeds", NAME_REMEDY },
  { "secret", "TEXT", NULL, FOR_BOTH, parse_secret, FIELD_OFFSET (secret),
    true,
    "Shared by all processes of the fleet; prefer the variable, because flags "
    "show in the list of processes",
    "use 16 to 1024 bytes, at best random, the same in the whole fleet" },
  { "policy", "POLICY", "fleet", FOR_BOTH, parse_policy, FIELD_OFFSET (policy),
    false,
    "Who gets a free slot: fleet is fair over the whole fleet, local is the "
    "baseline with a fair queue in each router",
    "use fleet or local" },
  { "request-s", "SECONDS", "60", FOR_ROUTER, parse_seconds,
    FIELD_OFFSET (request_s), false, "Longest wait of a request in the queue",
    SECONDS_REMEDY },
  { "drain-s", "SECONDS", "300", FOR_BOTH, parse_seconds,
    FIELD_OFFSET (drain_s), false,
    "Longest time that a graceful shutdown waits for requests to end",
    SECONDS_REMEDY },
  { "claims-kept-s", "SECONDS", "86400", FOR_ROUTER, parse_claim_retention,
    FIELD_OFFSET (claims_kept_s), false,
    "Time that the claim of an Idempotency-Key is kept after its last write; "
    "0 keeps it for ever",
    "use whole seconds from 0 to 2592000, longer than callers ask again and "
    "than calls run, the same at all routers" },
  { "claim-calls", "NUMBER", "50", FOR_ROUTER, parse_claim_calls,
    FIELD_OFFSET (claim_calls), false,
    "Most platform calls a second that all routers together spend to remove "
    "claims",
    "use 1 to 1000, the same at all routers" },
  { "log-level", "LEVEL", "info", FOR_BOTH, parse_level,
    FIELD_OFFSET (log_level), false, "Least important lines that are logged",
    "use error, warn, info or debug" },
  { "log-json", NULL, "false", FOR_BOTH, parse_switch, FIELD_OFFSET (log_json),
    false, "Logs one JSON object a line", SWITCH_REMEDY },
  { "check", NULL, "false", FOR_BOTH, parse_switch, FIELD_OFFSET (check),
    false, "Checks the settings and exits", SWITCH_REMEDY },
};

#define SETTING_COUNT G_N_ELEMENTS (settings)

/* Values of the command line before validation.  */
typedef struct
{
  char *values[SETTING_COUNT];
  gboolean switches[SETTING_COUNT];
  gboolean version;
  gboolean help;
  gboolean help_settings;
} raw_options_t;

static void
raw_options_clear (raw_options_t *raw)
{
  for (size_t i = 0; i < SETTING_COUNT; i++)
    {
      if (raw->values[i] != NULL)
        sodium_memzero (raw->values[i], strlen (raw->values[i]));
      g_free (raw->values[i]);
    }
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (raw_options_t, raw_options_clear)

static bool
parse_role (const char *role, setting_roles_t *mask)
{
  if (g_strcmp0 (role, "router") == 0)
    *mask = FOR_ROUTER;
  else if (g_strcmp0 (role, "agent") == 0)
    *mask = FOR_AGENT;
  else
    return false;
  return true;
}

/* Returns the environment variable of a flag; free with g_free.  */
static char *
get_variable_name (const char *flag)
{
  g_autofree char *upper = g_ascii_strup (flag, -1);

  g_strdelimit (upper, "-", '_');
  return g_strconcat ("CFD_", upper, NULL);
}

static GOptionContext *
make_context (setting_roles_t role, raw_options_t *raw)
{
  static const GOptionEntry info_options[] = {
    { "help", 'h', 0, G_OPTION_ARG_NONE, NULL, "Prints this", NULL },
    { "help-settings", 0, 0, G_OPTION_ARG_NONE, NULL,
      "Prints all settings as a Markdown table", NULL },
    { "version", 0, 0, G_OPTION_ARG_NONE, NULL, "Prints the version", NULL },
  };
  GOptionEntry entries[SETTING_COUNT + G_N_ELEMENTS (info_options) + 1]
      = { 0 };
  GOptionContext *context = g_option_context_new (NULL);
  size_t used = 0;

  for (size_t i = 0; i < SETTING_COUNT; i++)
    if ((settings[i].roles & role) != 0)
      entries[used++] = (GOptionEntry){
        .long_name = settings[i].flag,
        .arg = settings[i].argument ? G_OPTION_ARG_STRING : G_OPTION_ARG_NONE,
        .arg_data = settings[i].argument ? (gpointer)&raw->values[i]
                                         : (gpointer)&raw->switches[i],
        .description = settings[i].help,
        .arg_description = settings[i].argument
      };
  memcpy (&entries[used], info_options, sizeof info_options);
  entries[used].arg_data = &raw->help;
  entries[used + 1].arg_data = &raw->help_settings;
  entries[used + 2].arg_data = &raw->version;
  g_option_context_set_help_enabled (context, FALSE);
  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_set_description (
      context, "Each setting may also come from the environment: CFD_ and the "
               "flag in upper case\nwith underscores. A flag goes before it.");
  return context;
}

static bool
parse_setting (const setting_t *setting, const char *text, bool from_variable,
               cfd_settings_t *parsed, GError **error)
{
  g_autofree char *variable = get_variable_name (setting->flag);

  if (text == NULL)
    {
      g_set_error (error, CFD_ERROR, CFD_ERROR_SETTING,
                   "--%s or %s is missing; %s", setting->flag, variable,
                   setting->remedy);
      return false;
    }
  if (setting->parse (text, (char *)parsed + setting->offset))
    return true;
  g_set_error (error, CFD_ERROR, CFD_ERROR_SETTING,
               "%s%s has a bad value%s%s%s; %s", from_variable ? "" : "--",
               from_variable ? variable : setting->flag,
               setting->is_secret ? "" : " \"", setting->is_secret ? "" : text,
               setting->is_secret ? "" : "\"", setting->remedy);
  return false;
}

static bool
parse_all (setting_roles_t role, const raw_options_t *raw,
           cfd_settings_t *parsed, GError **error)
{
  for (size_t i = 0; i < SETTING_COUNT; i++)
    {
      g_autofree char *variable = get_variable_name (settings[i].flag);
      const char *text = raw->switches[i] ? "true" : raw->values[i];
      bool from_variable = text == NULL && g_getenv (variable) != NULL;

      if ((settings[i].roles & role) == 0)
        continue;
      if (text == NULL)
        text = g_getenv (variable);
      if (text == NULL)
        text = settings[i].default_text;
      if (!parse_setting (&settings[i], text, from_variable, parsed, error))
        return false;
    }
  return true;
}

/* Rejects two listeners on one address: the second bind would fail later, with
   a message that doesn't name the flags.  */
static bool
has_distinct_listeners (const cfd_settings_t *parsed, GError **error)
{
  const char *conflict = NULL;

  if (strcmp (parsed->peer_listen, parsed->admin_listen) == 0)
    conflict = "--peer-listen and --admin-listen";
  else if (g_strcmp0 (parsed->listen, parsed->peer_listen) == 0)
    conflict = "--listen and --peer-listen";
  else if (g_strcmp0 (parsed->listen, parsed->admin_listen) == 0)
    conflict = "--listen and --admin-listen";
  if (conflict == NULL)
    return true;
  g_set_error (error, CFD_ERROR, CFD_ERROR_SETTING,
               "%s have the same address; give each its own port", conflict);
  return false;
}

/* Prints the help, the settings or the version if RAW asks for one; the daemon
   must not start then.  */
static bool
print_requested_info (const char *role, const raw_options_t *raw,
                      GOptionContext *context)
{
  g_autofree char *text = NULL;

  if (raw->help)
    text = g_option_context_get_help (context, TRUE, NULL);
  else if (raw->help_settings)
    text = settings_format_table (role);
  else if (raw->version)
    text = g_strdup_printf ("cfd-%s %s\n", role, CFD_VERSION);
  else
    return false;
  g_print ("%s", text);
  return true;
}

/* Copies ARGV, because GLib's parser removes the options that it has parsed
   from the vector.  */
static GStrv
copy_arguments (int argc, char **argv)
{
  g_autoptr (GStrvBuilder) builder = g_strv_builder_new ();

  for (int i = 0; i < argc; i++)
    g_strv_builder_add (builder, argv[i]);
  return g_strv_builder_end (builder);
}

cfd_settings_t *
cfd_settings_parse (const char *role, int argc, char **argv, GError **error)
{
  g_auto (raw_options_t) raw = { 0 };
  g_autoptr (GOptionContext) context = NULL;
  cfd_settings_t *parsed;
  g_auto (GStrv) arguments = copy_arguments (argc, argv);
  g_autoptr (GError) parse_error = NULL;
  setting_roles_t mask;

  if (!parse_role (role, &mask))
    {
      g_set_error (error, CFD_ERROR, CFD_ERROR_SETTING,
                   "Role \"%s\" is unknown; use router or agent", role);
      return NULL;
    }
  context = make_context (mask, &raw);
  if (!g_option_context_parse_strv (context, &arguments, &parse_error))
    {
      g_set_error (error, CFD_ERROR, CFD_ERROR_SETTING, "%s; see --help",
                   parse_error->message);
      return NULL;
    }
  if (print_requested_info (role, &raw, context))
    return NULL;
  if (g_strv_length (arguments) > 1)
    {
      g_set_error (error, CFD_ERROR, CFD_ERROR_SETTING,
                   "\"%s\" is not a flag; write flags as --NAME VALUE",
                   arguments[1]);
      return NULL;
    }
  parsed = g_new0 (cfd_settings_t, 1);
  if (parse_all (mask, &raw, parsed, error)
      && has_distinct_listeners (parsed, error))
    return parsed;
  cfd_settings_free (parsed);
  return NULL;
}

void
cfd_settings_free (cfd_settings_t *parsed)
{
  if (parsed == NULL)
    return;
  if (parsed->secret != NULL)
    sodium_memzero (parsed->secret, strlen (parsed->secret));
  g_free (parsed->instance);
  g_free (parsed->zone);
  g_free (parsed->platform);
  g_free (parsed->peer_listen);
  g_free (parsed->admin_listen);
  g_free (parsed->secret);
  g_free (parsed->listen);
  g_free (parsed->endpoint);
  g_free (parsed->log_level);
  g_free (parsed);
}

char *
settings_format_table (const char *role)
{
  GString *table;
  setting_roles_t mask;

  if (!parse_role (role, &mask))
    return NULL;
  table = g_string_new ("| Flag | Variable | Default | Meaning |\n"
                        "|---|---|---|---|\n");
  for (size_t i = 0; i < SETTING_COUNT; i++)
    {
      const setting_t *row = &settings[i];
      g_autofree char *variable = get_variable_name (row->flag);

      if ((row->roles & mask) == 0)
        continue;
      g_string_append_printf (
          table, "| `--%s%s%s` | `%s` | %s | %s; %s. |\n", row->flag,
          row->argument ? " " : "", row->argument ? row->argument : "",
          variable, row->default_text ? row->default_text : "required",
          row->help, row->remedy);
    }
  return g_string_free (table, FALSE);
}
