/* The stand-in's control requests, as sp.h lists them.  */

#ifndef TESTS_SP_CONTROL_H
#define TESTS_SP_CONTROL_H

#include "http/web.h"
#include "sp.h"

void sp_handle_control (sp_t *sp, web_request_t *request);

/* Splits "PREFIX/KIND/NAME"; false when PATH is not of that form.  */
bool sp_parse_object_path (const char *path, const char *prefix, char **kind,
                           char **name);

#endif
