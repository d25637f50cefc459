/** @file startup_template.h Fills in the deployed start-up file's template, as the platform does. */
#pragma once

#include <map>
#include <string>

namespace bulrushloft::soak {

/**
 * Replaces {{name}} by its value. A section {{#name}}...{{/name}} is kept if the name has a value, which {{.}} stands for in it.
 * @param text The template. Sections are not nested.
 * @param values Values by name; a name without one becomes empty.
 */
inline std::string fillTemplate(const std::string& text, const std::map<std::string, std::string>& values)
{
    std::string filled;
    std::string section;
    std::size_t from = 0;
    for (std::size_t open = text.find("{{"); open != std::string::npos; open = text.find("{{", from)) {
        filled += text.substr(from, open - from);
        const std::size_t close = text.find("}}", open);
        const std::string name = text.substr(open + 2, close - open - 2);
        from = close + 2;
        if (name.starts_with("/"))
            continue;
        const auto value = values.find(name == "." ? section : name.substr(name.starts_with("#") ? 1 : 0));
        if (name.starts_with("#")) {
            section = name.substr(1);
            const std::string end = "{{/" + section + "}}";
            if (value == values.end())
                from = text.find(end, from) + end.size();
        } else if (value != values.end()) {
            filled += value->second;
        }
    }
    return filled + text.substr(from);
}

} // namespace bulrushloft::soak
