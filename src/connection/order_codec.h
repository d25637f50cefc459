/** @file order_codec.h Orders and reports that daemons pass to each other, as rows of CBOR. */
#pragma once

#include "connection/order_type.h"

#include <nlohmann/json.hpp>

namespace bulrushloft {

/** @return The row of a task's name. */
nlohmann::json taskNameToJson(const TaskName& name);

/** @return The name that a row holds. Throws what nlohmann::json throws when it holds none. */
TaskName taskNameFromJson(const nlohmann::json& row);

/** @return The row of an order. */
nlohmann::json orderToJson(const RelayedOrder& order);

/** @return The order that a row holds. Throws as taskNameFromJson(). */
RelayedOrder orderFromJson(const nlohmann::json& row);

/** @return The row of a report. */
nlohmann::json reportToJson(const OrderReport& report);

/** @return The report that a row holds. Throws as taskNameFromJson(). */
OrderReport reportFromJson(const nlohmann::json& row);

} // namespace bulrushloft
