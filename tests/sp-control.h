/* Platform stand-in: the control requests described in sp.h.  */

#ifndef TESTS_SP_CONTROL_H
#define TESTS_SP_CONTROL_H

#include "http/web.h"
#include "sp.h"

void sp_handle_control (sp_t *sp, web_request_t *request);

/* Parses "PREFIX/KIND/NAME"; false when PATH has another form.  */
bool sp_parse_object_path (const char *path, const char *prefix, char **kind,
                           char **name);

#endif
