/* Settings: the table of the daemons' flags and environment variables.  One
   row defines a setting's parser, validation, default, help text and
   documentation.  */

#ifndef BASE_SETTINGS_H
#define BASE_SETTINGS_H

#include <glib.h>

/* Returns the settings of ROLE as a Markdown table, as --help-settings prints
   it, or NULL for an unknown role.  Free with g_free.  */
char *settings_format_table (const char *role);

#endif
