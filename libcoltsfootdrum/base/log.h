/* Structured logging over GLib.  A line has the prefix of its part, a short
   sentence and key=value fields.  log_setup configures it once per process;
   G_MESSAGES_DEBUG is ignored.  */

#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <glib.h>
#include <stdbool.h>

typedef enum
{
  LOG_ERROR,
  LOG_WARN,
  LOG_INFO,
  LOG_DEBUG
} log_level_t;

/* Writes INSTANCE into every line and drops lines less severe than THRESHOLD.
   JSON selects one JSON object per line.  */
void log_setup (const char *instance, log_level_t threshold, bool json);

/* Sets the file descriptor for lines; the default is standard error.  */
void log_set_descriptor (int descriptor);

/* Receives each formatted line without its newline, instead of the
   descriptor.  A NULL sink restores the descriptor.  */
typedef void (*log_sink_t) (void *user, const char *line);
void log_set_sink (log_sink_t sink, void *user);

bool log_level_parse (const char *text, log_level_t *level, GError **error);

/* Writes "PART: message" at LEVEL.  At most 20 lines per second of one format
   are written; the others are counted, and the next line that is written gives
   the count.  Never pass a caller's key or a secret.  */
void log_at (log_level_t level, const char *part, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

#define log_error(part, ...) log_at (LOG_ERROR, part, __VA_ARGS__)
#define log_warn(part, ...) log_at (LOG_WARN, part, __VA_ARGS__)
#define log_info(part, ...) log_at (LOG_INFO, part, __VA_ARGS__)
#define log_debug(part, ...) log_at (LOG_DEBUG, part, __VA_ARGS__)

/* Counts the violation of an invariant, logs it with the timeline's last
   events, and aborts in builds with CFD_ABORT_ON_VIOLATION.  */
void invariant_report_failure (const char *invariant, const char *file,
                               int line, const char *detail);
unsigned invariant_count_failures (void);

/* Called at each violation, before the abort in test builds.  The timeline
   registers itself here.  */
typedef void (*invariant_hook_t) (void *user, const char *invariant,
                                  const char *detail);
void invariant_set_hook (invariant_hook_t hook, void *user);
void *invariant_get_hook_user (void);

#define INVARIANT(name, condition, detail)                                    \
  do                                                                          \
    {                                                                         \
      if (!(condition))                                                       \
        invariant_report_failure (name, __FILE__, __LINE__, detail);          \
    }                                                                         \
  while (0)

#endif
