#include "cli/TraceCommand.h"

#include "cli/TraceTree.h"
#include "cli/WorkCommands.h"
#include "cranberryreel/base/Error.h"

namespace cranberryreel::cli
{

namespace
{

/// Queries every named entry VM, because each keeps only the spans of its own hops.
void collectSpans(Session &session, const std::string &id, TraceTree &tree, nlohmann::json &documents)
{
    EntryCall call;
    call.target = "/v1/ops/spans/" + encodePathSegment(id);
    for (const std::string &entry : session.entryClient().entryVms()) {
        const nlohmann::json answer = session.entryClient().callOne(entry, call);
        for (const nlohmann::json &document : answer.is_array() ? answer : nlohmann::json::array({answer})) {
            if (document.is_object()) {
                tree.addDocument(document);
                documents.push_back(document);
            }
        }
    }
}

} // namespace

base::ResultCode traceWork(Session &session, const Arguments &arguments)
{
    const std::string id = arguments.operand(0);
    TraceTree tree;
    nlohmann::json documents = nlohmann::json::array();
    collectSpans(session, id, tree, documents);
    for (const std::string &trace : tree.traceIds()) {
        if (trace != id) {
            collectSpans(session, trace, tree, documents);
        }
    }
    if (tree.empty()) {
        throw base::Error(base::ResultCode::NotFound,
                          "no entry VM holds a span of this work; name every entry VM with --entry, use an operator's key, and ask soon after the work");
    }
    if (session.wantsJson()) {
        session.printJson(documents);
    } else {
        session.out() << tree.draw();
    }
    return base::ResultCode::Ok;
}

} // namespace cranberryreel::cli
