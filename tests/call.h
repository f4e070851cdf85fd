/* One caller's HTTP request, driven step by step over its own connection, so
   that a test can do something while the answer is on its way.  */

#ifndef TESTS_CALL_H
#define TESTS_CALL_H

#include <glib.h>

typedef enum
{
  CALL_COMPLETE,   /* the answer came, and its framing says that it is whole */
  CALL_INCOMPLETE, /* the connection ended before that, or was refused */
  CALL_TIMED_OUT   /* nothing more came in time */
} call_result_t;

typedef struct
{
  int fd;
  GString *text; /* head and body as received */
} call_t;

/* BASE is http://IP:PORT; HEADERS is NULL or lines that end in \r\n.  */
call_t *call_start (const char *base, const char *method, const char *path,
                    const char *key, const char *headers, const char *body);
void call_free (call_t *call);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (call_t, call_free)

/* Reads until TEXT has been received; false after WAIT_MS without.  */
gboolean call_wait_for_text (call_t *call, const char *text, int wait_ms);
/* Reads to the end.  */
call_result_t call_read_to_end (call_t *call, int wait_ms);
/* 0 before the head came.  */
unsigned call_get_status (const call_t *call);

#endif
