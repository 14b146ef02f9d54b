/// \file
/// The JSON form of table transactions, outcomes and rows. Every parse is checked and names the field that is wrong.
#pragma once

#include "core/error.h"
#include "core/table_transaction.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace oriolepick {

/// \return the body of POST /table/commit, or BadRequest when a key or value is not UTF-8
result<std::string> encodeTransaction(const table_transaction& transaction);

/// \return the transaction in \p body, or BadRequest naming the field
result<table_transaction> parseTransaction(std::string_view body);

/// \param epoch of the response
/// \return the versions of \p writes in a 200 response {"versions":{key:N}}; nothing when it lacks one
std::vector<store_version> parseVersions(
    std::string_view body, const std::vector<table_write>& writes, store_epoch epoch);

/// \return the keys of a 412 response {"failed":[keys]}
result<std::vector<std::string>> parseFailedKeys(std::string_view body);

/// \return the body {"key","value","version"} of one row
std::string encodeRow(const table_row& row);

/// \param epoch of the response
/// \return the row in \p body
result<table_row> parseRow(std::string_view body, store_epoch epoch);

/// \return the body {"rows":[...]} of a scan
std::string encodeRows(const std::vector<table_row>& rows);

/// \param epoch of the response
/// \return the rows in \p body
result<std::vector<table_row>> parseRows(std::string_view body, store_epoch epoch);

} // namespace oriolepick
