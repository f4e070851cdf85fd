#include "base/settings.h"

#include "base/addr.h"
#include "base/err.h"
#include "base/log.h"
#include "libcoltsfootdrum.h"
#include <sodium.h>
#include <stddef.h>
#include <string.h>

#define SECRET_LEAST 16u
#define SECRET_MOST 1024u
#define NAME_MOST 255u
#define LONGEST_S 86400
#define KEPT_MOST_S 2592000
#define CALLS_MOST 1000

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
  const char *argument; /* its name in the help; NULL for a switch */
  const char *standard; /* the default; NULL when required */
  setting_roles_t roles;
  /* Checks TEXT and keeps it at TO; false when it is bad.  */
  bool (*keep) (const char *text, void *to);
  size_t offset;
  bool hidden;        /* never printed */
  const char *help;   /* what it is */
  const char *remedy; /* how a good value looks */
};

static bool
keep_text (const char *text, char **to)
{
  g_free (*to);
  *to = g_strdup (text);
  return true;
}

static bool
keep_name (const char *text, void *to)
{
  static const char allowed[] = G_CSET_A_2_Z G_CSET_a_2_z G_CSET_DIGITS "._-";
  size_t length = strlen (text);

  return length > 0 && length <= NAME_MOST && g_ascii_isalnum (text[0])
         && strspn (text, allowed) == length && keep_text (text, to);
}

static bool
is_address (const char *text)
{
  addr_t addr;

  return addr_parse (text, &addr, NULL) && !g_str_has_suffix (text, ":0");
}

static bool
keep_address (const char *text, void *to)
{
  return is_address (text) && keep_text (text, to);
}

static bool
keep_url (const char *text, void *to)
{
  static const char scheme[] = "http://";

  return g_str_has_prefix (text, scheme) && is_address (text + strlen (scheme))
         && keep_text (text, to);
}

static bool
keep_secret (const char *text, void *to)
{
  size_t length = strlen (text);

  return length >= SECRET_LEAST && length <= SECRET_MOST
         && keep_text (text, to);
}

static bool
keep_level (const char *text, void *to)
{
  log_level_t level;

  return log_level_parse (text, &level, NULL) && keep_text (text, to);
}

static bool
keep_seconds (const char *text, void *to)
{
  gint64 seconds;

  if (!g_ascii_string_to_signed (text, 10, 1, LONGEST_S, &seconds, NULL))
    return false;
  *(int *)to = (int)seconds;
  return true;
}

static bool
keep_kept (const char *text, void *to)
{
  gint64 seconds;

  if (!g_ascii_string_to_signed (text, 10, 0, KEPT_MOST_S, &seconds, NULL))
    return false;
  *(int *)to = (int)seconds;
  return true;
}

static bool
keep_calls (const char *text, void *to)
{
  gint64 calls;

  if (!g_ascii_string_to_signed (text, 10, 1, CALLS_MOST, &calls, NULL))
    return false;
  *(int *)to = (int)calls;
  return true;
}

static bool
keep_policy (const char *text, void *to)
{
  cfd_policy_t *policy = to;

  if (strcmp (text, "fleet") == 0)
    *policy = CFD_POLICY_FLEET;
  else if (strcmp (text, "local") == 0)
    *policy = CFD_POLICY_LOCAL;
  else
    return false;
  return true;
}

static bool
keep_switch (const char *text, void *to)
{
  static const char *const on[] = { "true", "1", "yes", NULL };
  static const char *const off[] = { "false", "0", "no", NULL };

  *(bool *)to = g_strv_contains (on, text);
  return *(bool *)to || g_strv_contains (off, text);
}

#define NAME_REMEDY                                                           \
  "use 1 to 255 letters, digits, dots, dashes or underscores, the first a "   \
  "letter or digit"
#define ADDRESS_REMEDY                                                        \
  "use a numeric IP:PORT as in 127.0.0.1:8080, with a port other than 0"
#define SECONDS_REMEDY "use whole seconds from 1 to 86400"
#define SWITCH_REMEDY "use true or false"
#define AT(member) offsetof (cfd_settings_t, member)

static const setting_t settings[] = {
  { "instance", "NAME", NULL, FOR_BOTH, keep_name, AT (instance), false,
    "Name of this process in the platform's list of instances", NAME_REMEDY },
  { "zone", "NAME", NULL, FOR_BOTH, keep_name, AT (zone), false,
    "Availability zone of this process", NAME_REMEDY },
  { "platform", "URL", NULL, FOR_BOTH, keep_url, AT (platform), false,
    "The platform's object API",
    "use http://IP:PORT as in http://127.0.0.1:7000, with nothing after it" },
  { "peer-listen", "IP:PORT", NULL, FOR_BOTH, keep_address, AT (peer_listen),
    false, "Accepts links of the fleet's own processes", ADDRESS_REMEDY },
  { "admin-listen", "IP:PORT", NULL, FOR_BOTH, keep_address, AT (admin_listen),
    false, "Serves /healthz, /readyz, /metrics, /status and /events",
    ADDRESS_REMEDY },
  { "listen", "IP:PORT", NULL, FOR_ROUTER, keep_address, AT (listen), false,
    "Accepts callers' requests", ADDRESS_REMEDY },
  { "endpoint", "NAME", NULL, FOR_AGENT, keep_name, AT (endpoint), false,
    "Record of the endpoint that this agent feeds", NAME_REMEDY },
  { "secret", "TEXT", NULL, FOR_BOTH, keep_secret, AT (secret), true,
    "Shared by all processes of the fleet; prefer the variable, because flags "
    "show in the list of processes",
    "use 16 to 1024 bytes, at best random, the same in the whole fleet" },
  { "policy", "POLICY", "fleet", FOR_BOTH, keep_policy, AT (policy), false,
    "Who gets a free slot: fleet is fair over the whole fleet, local is the "
    "baseline with a fair queue in each router",
    "use fleet or local" },
  { "request-s", "SECONDS", "60", FOR_ROUTER, keep_seconds, AT (request_s),
    false, "Longest wait of a request in the queue", SECONDS_REMEDY },
  { "drain-s", "SECONDS", "300", FOR_BOTH, keep_seconds, AT (drain_s), false,
    "Longest time that a graceful shutdown waits for requests to end",
    SECONDS_REMEDY },
  { "claims-kept-s", "SECONDS", "86400", FOR_ROUTER, keep_kept,
    AT (claims_kept_s), false,
    "Time that the claim of an Idempotency-Key is kept after its last write; "
    "0 keeps it for ever",
    "use whole seconds from 0 to 2592000, longer than callers ask again and "
    "than calls run, the same at all routers" },
  { "claim-calls", "NUMBER", "50", FOR_ROUTER, keep_calls, AT (claim_calls),
    false,
    "Most platform calls a second that all routers together spend to remove "
    "claims",
    "use 1 to 1000, the same at all routers" },
  { "log-level", "LEVEL", "info", FOR_BOTH, keep_level, AT (log_level), false,
    "Least important lines that are logged",
    "use error, warn, info or debug" },
  { "log-json", NULL, "false", FOR_BOTH, keep_switch, AT (log_json), false,
    "Logs one JSON object a line", SWITCH_REMEDY },
  { "check", NULL, "false", FOR_BOTH, keep_switch, AT (check), false,
    "Checks the settings and exits", SWITCH_REMEDY },
};

#define SETTINGS G_N_ELEMENTS (settings)

/* What the command line gave, before any check.  */
typedef struct
{
  char *texts[SETTINGS];
  gboolean switches[SETTINGS];
  gboolean version;
  gboolean help;
  gboolean help_settings;
} given_t;

static void
given_clear (given_t *given)
{
  for (size_t i = 0; i < SETTINGS; i++)
    {
      if (given->texts[i] != NULL)
        sodium_memzero (given->texts[i], strlen (given->texts[i]));
      g_free (given->texts[i]);
    }
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (given_t, given_clear)

static bool
role_parse (const char *role, setting_roles_t *mask)
{
  if (g_strcmp0 (role, "router") == 0)
    *mask = FOR_ROUTER;
  else if (g_strcmp0 (role, "agent") == 0)
    *mask = FOR_AGENT;
  else
    return false;
  return true;
}

/* The environment variable of a flag; free with g_free.  */
static char *
variable_name (const char *flag)
{
  g_autofree char *upper = g_ascii_strup (flag, -1);

  g_strdelimit (upper, "-", '_');
  return g_strconcat ("CFD_", upper, NULL);
}

static GOptionContext *
make_context (setting_roles_t role, given_t *given)
{
  static const GOptionEntry asks[] = {
    { "help", 'h', 0, G_OPTION_ARG_NONE, NULL, "Prints this", NULL },
    { "help-settings", 0, 0, G_OPTION_ARG_NONE, NULL,
      "Prints all settings as a Markdown table", NULL },
    { "version", 0, 0, G_OPTION_ARG_NONE, NULL, "Prints the version", NULL },
  };
  GOptionEntry entries[SETTINGS + G_N_ELEMENTS (asks) + 1] = { 0 };
  GOptionContext *context = g_option_context_new (NULL);
  size_t used = 0;

  for (size_t i = 0; i < SETTINGS; i++)
    if ((settings[i].roles & role) != 0)
      entries[used++] = (GOptionEntry){
        .long_name = settings[i].flag,
        .arg = settings[i].argument ? G_OPTION_ARG_STRING : G_OPTION_ARG_NONE,
        .arg_data = settings[i].argument ? (gpointer)&given->texts[i]
                                         : (gpointer)&given->switches[i],
        .description = settings[i].help,
        .arg_description = settings[i].argument
      };
  memcpy (&entries[used], asks, sizeof asks);
  entries[used].arg_data = &given->help;
  entries[used + 1].arg_data = &given->help_settings;
  entries[used + 2].arg_data = &given->version;
  g_option_context_set_help_enabled (context, FALSE);
  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_set_description (
      context, "Each setting may also come from the environment: CFD_ and the "
               "flag in upper case\nwith underscores. A flag goes before it.");
  return context;
}

static bool
keep_setting (const setting_t *setting, const char *text, bool from_variable,
              cfd_settings_t *kept, GError **error)
{
  g_autofree char *variable = variable_name (setting->flag);

  if (text == NULL)
    {
      g_set_error (error, CFD_ERROR, CFD_ERROR_SETTING,
                   "--%s or %s is missing; %s", setting->flag, variable,
                   setting->remedy);
      return false;
    }
  if (setting->keep (text, (char *)kept + setting->offset))
    return true;
  g_set_error (error, CFD_ERROR, CFD_ERROR_SETTING,
               "%s%s has a bad value%s%s%s; %s", from_variable ? "" : "--",
               from_variable ? variable : setting->flag,
               setting->hidden ? "" : " \"", setting->hidden ? "" : text,
               setting->hidden ? "" : "\"", setting->remedy);
  return false;
}

static bool
keep_all (setting_roles_t role, const given_t *given, cfd_settings_t *kept,
          GError **error)
{
  for (size_t i = 0; i < SETTINGS; i++)
    {
      g_autofree char *variable = variable_name (settings[i].flag);
      const char *text = given->switches[i] ? "true" : given->texts[i];
      bool from_variable = text == NULL && g_getenv (variable) != NULL;

      if ((settings[i].roles & role) == 0)
        continue;
      if (text == NULL)
        text = g_getenv (variable);
      if (text == NULL)
        text = settings[i].standard;
      if (!keep_setting (&settings[i], text, from_variable, kept, error))
        return false;
    }
  return true;
}

/* Two listeners on one address: the second would fail to bind, late and with
   a message that does not name the flags.  */
static bool
listeners_differ (const cfd_settings_t *kept, GError **error)
{
  const char *clash = NULL;

  if (strcmp (kept->peer_listen, kept->admin_listen) == 0)
    clash = "--peer-listen and --admin-listen";
  else if (g_strcmp0 (kept->listen, kept->peer_listen) == 0)
    clash = "--listen and --peer-listen";
  else if (g_strcmp0 (kept->listen, kept->admin_listen) == 0)
    clash = "--listen and --admin-listen";
  if (clash == NULL)
    return true;
  g_set_error (error, CFD_ERROR, CFD_ERROR_SETTING,
               "%s have the same address; give each its own port", clash);
  return false;
}

/* Prints what was asked for instead of a start.  */
static bool
print_asked (const char *role, const given_t *given, GOptionContext *context)
{
  g_autofree char *text = NULL;

  if (given->help)
    text = g_option_context_get_help (context, TRUE, NULL);
  else if (given->help_settings)
    text = settings_format_table (role);
  else if (given->version)
    text = g_strdup_printf ("cfd-%s %s\n", role, CFD_VERSION);
  else
    return false;
  g_print ("%s", text);
  return true;
}

/* GLib's parser takes what it used out of the vector.  */
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
  g_auto (given_t) given = { 0 };
  g_autoptr (GOptionContext) context = NULL;
  cfd_settings_t *kept;
  g_auto (GStrv) arguments = copy_arguments (argc, argv);
  g_autoptr (GError) fault = NULL;
  setting_roles_t mask;

  if (!role_parse (role, &mask))
    {
      g_set_error (error, CFD_ERROR, CFD_ERROR_SETTING,
                   "Role \"%s\" is unknown; use router or agent", role);
      return NULL;
    }
  context = make_context (mask, &given);
  if (!g_option_context_parse_strv (context, &arguments, &fault))
    {
      g_set_error (error, CFD_ERROR, CFD_ERROR_SETTING, "%s; see --help",
                   fault->message);
      return NULL;
    }
  if (print_asked (role, &given, context))
    return NULL;
  if (g_strv_length (arguments) > 1)
    {
      g_set_error (error, CFD_ERROR, CFD_ERROR_SETTING,
                   "\"%s\" is no flag; write flags as --NAME VALUE",
                   arguments[1]);
      return NULL;
    }
  kept = g_new0 (cfd_settings_t, 1);
  if (keep_all (mask, &given, kept, error) && listeners_differ (kept, error))
    return kept;
  cfd_settings_free (kept);
  return NULL;
}

void
cfd_settings_free (cfd_settings_t *kept)
{
  if (kept == NULL)
    return;
  if (kept->secret != NULL)
    sodium_memzero (kept->secret, strlen (kept->secret));
  g_free (kept->instance);
  g_free (kept->zone);
  g_free (kept->platform);
  g_free (kept->peer_listen);
  g_free (kept->admin_listen);
  g_free (kept->secret);
  g_free (kept->listen);
  g_free (kept->endpoint);
  g_free (kept->log_level);
  g_free (kept);
}

char *
settings_format_table (const char *role)
{
  GString *table;
  setting_roles_t mask;

  if (!role_parse (role, &mask))
    return NULL;
  table = g_string_new ("| Flag | Variable | Default | Meaning |\n"
                        "|---|---|---|---|\n");
  for (size_t i = 0; i < SETTINGS; i++)
    {
      const setting_t *row = &settings[i];
      g_autofree char *variable = variable_name (row->flag);

      if ((row->roles & mask) == 0)
        continue;
      g_string_append_printf (table, "| `--%s%s%s` | `%s` | %s | %s; %s. |\n",
                              row->flag, row->argument ? " " : "",
                              row->argument ? row->argument : "", variable,
                              row->standard ? row->standard : "required",
                              row->help, row->remedy);
    }
  return g_string_free (table, FALSE);
}
