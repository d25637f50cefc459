/** @file order_codec.h Conversion of the orders and reports that daemons exchange to and from JSON arrays, which are sent as CBOR. */
#pragma once

#include "connection/order_type.h"

#include <nlohmann/json.hpp>

namespace bulrushloft {

/** @return The task name as a JSON array. */
nlohmann::json taskNameToJson(const TaskName& name);

/**
 * @param row A task name as taskNameToJson() returns it.
 * @return The task name.
 * @throws nlohmann::json::exception If the row does not hold a task name.
 */
TaskName taskNameFromJson(const nlohmann::json& row);

/** @return The order as a JSON array. */
nlohmann::json orderToJson(const RelayedOrder& order);

/**
 * @param row An order as orderToJson() returns it.
 * @return The order.
 * @throws nlohmann::json::exception If the row does not hold an order.
 * @throws std::out_of_range If the row holds an unknown type of order.
 */
RelayedOrder orderFromJson(const nlohmann::json& row);

/** @return The report as a JSON array. */
nlohmann::json reportToJson(const OrderReport& report);

/**
 * @param row A report as reportToJson() returns it.
 * @return The report.
 * @throws nlohmann::json::exception If the row does not hold a report.
 */
OrderReport reportFromJson(const nlohmann::json& row);

} // namespace bulrushloft
