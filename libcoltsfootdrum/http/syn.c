/* Syntax of heads.  */

#include "http/syn.h"

#include <glib.h>
#include <string.h>

/* What names of fields may hold beside letters and digits.  */
#define NAME_MARKS "!#$%&'*+-.^_`|~"
#define MIN_STATUS 100
#define MIN_FINAL_STATUS 200
#define MAX_STATUS 599
#define SWITCHING_PROTOCOLS 101

/* The start of a status line; D stands for a digit.  */
#define STATUS_LINE "HTTP/1.D DDD"
#define STATUS_LINE_BYTES (sizeof STATUS_LINE - 1)
#define STATUS_DIGITS 3

bool
syn_is_name (const char *at, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (!g_ascii_isalnum (at[i])
        && (at[i] == '\0' || strchr (NAME_MARKS, at[i]) == NULL))
      return false;
  return true;
}

bool
syn_is_status (unsigned status)
{
  return status >= MIN_STATUS && status <= MAX_STATUS
         && status != SWITCHING_PROTOCOLS;
}

bool
syn_is_final_status (int64_t status)
{
  return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
}

unsigned
syn_parse_status_line (const char *line, size_t length)
{
  unsigned status = 0;

  if (length < STATUS_LINE_BYTES
      || (length > STATUS_LINE_BYTES && line[STATUS_LINE_BYTES] != ' '))
    return 0;
  for (size_t i = 0; i < STATUS_LINE_BYTES; i++)
    if (STATUS_LINE[i] == 'D' ? !g_ascii_isdigit (line[i])
                              : line[i] != STATUS_LINE[i])
      return 0;
  for (size_t i = STATUS_LINE_BYTES - STATUS_DIGITS; i < STATUS_LINE_BYTES;
       i++)
    status = status * 10 + (unsigned)g_ascii_digit_value (line[i]);
  return syn_is_status (status) ? status : 0;
}

bool
syn_is_field (const char *line, size_t length)
{
  const char *colon = memchr (line, ':', length);

  if (colon == NULL || colon == line
      || !syn_is_name (line, (size_t)(colon - line)))
    return false;
  for (const char *at = colon; at < line + length; at++)
    if (g_ascii_iscntrl (*at) && *at != '\t')
      return false;
  return true;
}
