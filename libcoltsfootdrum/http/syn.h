/* Syntax.  Checks of what HTTP libraries accept in the head of a message,
   though RFC 9110 and 9112 don't.  */

#ifndef HTTP_SYN_H
#define HTTP_SYN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Returns whether LENGTH bytes from AT on may be part of a field's name.  */
bool syn_is_name (const char *at, size_t length);

/* Returns whether a response may have STATUS: 100 to 599, and not 101, since
   no request asks for an upgrade.  */
bool syn_is_status (unsigned status);

/* Returns whether STATUS, which another process gave, may be that of a whole
   answer: 200 to 599.  */
bool syn_is_final_status (int64_t status);

/* Returns the status of the status line of LENGTH bytes, without its line end;
   0: it is no status line of HTTP/1.1 or 1.0, or has no valid status.  */
unsigned syn_parse_status_line (const char *line, size_t length);

/* Returns whether the line of LENGTH bytes, without its line end, is a field:
   a name, a colon and a value without control bytes.  */
bool syn_is_field (const char *line, size_t length);

#endif
