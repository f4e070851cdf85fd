/* Structured logging over GLib: a short sentence, a fixed prefix for each
   part, key-value fields after it.  Set up once by log_setup; G_MESSAGES_DEBUG
   is not consulted.  */

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

/* INSTANCE goes into every line; JSON selects one JSON object a line.  */
void log_setup (const char *instance, log_level_t least, bool json);

/* Where lines go; standard error until then.  */
void log_set_descriptor (int descriptor);

/* Receives each finished line, without its newline; NULL is the descriptor. */
typedef void (*log_sink_t) (void *user, const char *line);
void log_set_sink (log_sink_t sink, void *user);

bool log_level_parse (const char *text, log_level_t *level, GError **error);

/* Writes "PART: message" at LEVEL.  More than 20 lines a second of one format
   are counted instead of written, and the count is told with the next.  Never
   pass a caller's key or a secret.  */
void log_at (log_level_t level, const char *part, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

#define log_error(part, ...) log_at (LOG_ERROR, part, __VA_ARGS__)
#define log_warn(part, ...) log_at (LOG_WARN, part, __VA_ARGS__)
#define log_info(part, ...) log_at (LOG_INFO, part, __VA_ARGS__)
#define log_debug(part, ...) log_at (LOG_DEBUG, part, __VA_ARGS__)

/* Counts a broken invariant, logs it with the time line's last events, and
   aborts in builds with CFD_ABORT_ON_VIOLATION.  */
void invariant_report_failure (const char *invariant, const char *file,
                               int line, const char *detail);
unsigned invariant_count_failures (void);

/* Called at each broken invariant, before the abort of test builds; the time
   line registers itself here.  */
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
