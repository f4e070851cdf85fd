/* The table behind the daemons' flags and environment variables.  One row of
   it gives a setting's parsing, check, default, help and documentation.  */

#ifndef BASE_SETTINGS_H
#define BASE_SETTINGS_H

#include <glib.h>

/* The settings of ROLE as a Markdown table, as --help-settings prints it; NULL
   for an unknown role.  Free with g_free.  */
char *settings_format_table (const char *role);

#endif
