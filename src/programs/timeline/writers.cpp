#include "programs/timeline/writers.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>

namespace waxwinglb::programs::timeline {
namespace {

using core::timeline::event;
using nlohmann::json;

json to_json(const event& entry) {
    return {{"clock", entry.clock},     {"unix_ms", core::timeline::unix_ms_of(entry.clock)},
            {"process", entry.process}, {"sequence", entry.sequence},
            {"kind", entry.kind},       {"subject", entry.subject},
            {"cause", entry.cause},     {"what", entry.what}};
}

std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string padded(const std::string& text, std::size_t width) {
    return text + std::string(text.size() < width ? width - text.size() : 0, ' ') + " ";
}

constexpr const char* page_head = R"html(<!doctype html>
<meta charset="utf-8"><title>waxwinglb time line</title>
<style>
body{font:13px sans-serif;margin:8px} input{width:20em} svg{border:1px solid #ccc;display:block;width:100%}
.lane{stroke:#eee} text{font:11px sans-serif} #list{height:16em;overflow:auto;border:1px solid #ccc;margin-top:6px}
#list div{white-space:pre;font:12px monospace;padding:0 4px} #list div.hit{background:#ffd}
</style>
<p>Filter <input id="filter" placeholder="request, model, process, kind or words">
<button id="all">whole time</button> Wheel zooms, dragging moves, a click on a dot filters by its subject.
<span id="count"></span></p><svg id="lanes"></svg><div id="list"></div>
<script>
const events = )html";

constexpr const char* page_tail = R"html(;
const colours = {request:"#1f77b4",attempt:"#17becf",load:"#2ca02c",lease:"#9467bd",grant:"#bcbd22",
                 configuration:"#ff7f0e",fault:"#d62728",gap:"#000"};
const svg = document.getElementById("lanes"), list = document.getElementById("list");
const filter = document.getElementById("filter"), count = document.getElementById("count");
const names = [...new Set(events.map(e => e.process))].sort();
const first = events.length ? events[0].unix_ms : 0, last = events.length ? events[events.length-1].unix_ms : 1;
const left = 170, row = 20, top_ = 20;
let from = first - 50, to = last + 50;
const matches = e => { const f = filter.value.trim().toLowerCase();
  return !f || [e.process,e.kind,e.subject,e.cause,e.what].some(t => t.toLowerCase().includes(f)); };
function make(name, attributes, text) {
  const n = document.createElementNS("http://www.w3.org/2000/svg", name);
  for (const k in attributes) n.setAttribute(k, attributes[k]);
  if (text !== undefined) n.textContent = text;
  return n;
}
function draw() {
  const width = svg.clientWidth || 1000, x = t => left + (t-from)/(to-from)*(width-left-10);
  svg.replaceChildren(); svg.setAttribute("height", names.length*row + top_ + 10);
  for (let i = 0; i <= 8; i++) { const t = from + (to-from)*i/8;
    svg.append(make("text", {x:x(t), y:12, "text-anchor":"middle"}, Math.round(t-first)+" ms")); }
  names.forEach((n,i) => { const y = top_ + i*row + row/2;
    svg.append(make("line", {x1:left, x2:width, y1:y, y2:y, class:"lane"}), make("text", {x:2, y:y+4}, n)); });
  const shown = events.filter(e => e.unix_ms >= from && e.unix_ms <= to && matches(e));
  for (const e of shown) {
    const dot = make("circle", {cx:x(e.unix_ms), cy:top_ + names.indexOf(e.process)*row + row/2, r:4,
                                fill:colours[e.kind] || "#777"});
    dot.append(make("title", {}, `${e.unix_ms-first} ms ${e.kind} ${e.subject}\n${e.what}`));
    dot.onclick = () => { filter.value = e.subject; draw(); };
    svg.append(dot);
  }
  list.replaceChildren(...shown.slice(0, 2000).map(e => { const d = document.createElement("div");
    d.textContent = `${String(e.unix_ms-first).padStart(8)} ms  ${e.process.padEnd(24)} ${e.kind.padEnd(14)} ${e.subject}  ${e.what}`;
    return d; }));
  count.textContent = `${shown.length} of ${events.length} events`;
}
svg.onwheel = e => { e.preventDefault(); const width = svg.clientWidth,
  at = from + (e.offsetX-left)/(width-left-10)*(to-from), k = e.deltaY > 0 ? 1.25 : 0.8;
  from = at-(at-from)*k; to = at+(to-at)*k; draw(); };
let drag = null;
svg.onmousedown = e => drag = [e.offsetX, from, to];
window.onmouseup = () => drag = null;
svg.onmousemove = e => { if (!drag) return;
  const d = (e.offsetX-drag[0])/(svg.clientWidth-left-10)*(drag[2]-drag[1]); from = drag[1]-d; to = drag[2]-d; draw(); };
document.getElementById("all").onclick = () => { from = first-50; to = last+50; draw(); };
filter.oninput = draw; window.onresize = draw; draw();
</script>
)html";

} // namespace

std::string write_text(const std::vector<event>& events) {
    std::string out;
    std::size_t widest = 0;
    for (const event& entry : events)
        widest = std::max(widest, entry.process.size());
    const std::int64_t first = events.empty() ? 0 : core::timeline::unix_ms_of(events.front().clock);
    for (const event& entry : events) {
        std::string at = std::to_string(core::timeline::unix_ms_of(entry.clock) - first);
        constexpr std::size_t time_width = 8;
        constexpr std::size_t kind_width = 13;
        at.insert(0, at.size() < time_width ? time_width - at.size() : 0, ' ');
        out += at;
        out += " ms  " + padded(entry.process, widest) + padded(entry.kind, kind_width) + entry.subject +
               ": " + entry.what;
        if (!entry.cause.empty())
            out += " (" + entry.cause + ")";
        out += '\n';
    }
    return out;
}

std::string write_jsonl(const std::vector<event>& events) {
    std::string out;
    for (const event& entry : events) {
        out += dump(to_json(entry));
        out += '\n';
    }
    return out;
}

std::string write_html(const std::vector<event>& events) {
    json list = json::array();
    for (const event& entry : events)
        list.push_back(to_json(entry));
    std::string data = dump(list);
    // Escaped because a "</script>" inside an event would end the script element.
    for (std::size_t at = data.find("</"); at != std::string::npos; at = data.find("</", at + 3))
        data.replace(at, 2, "<\\/");
    return std::string(page_head) + data + page_tail;
}

} // namespace waxwinglb::programs::timeline
