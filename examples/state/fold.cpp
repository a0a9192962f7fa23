/// Two operators race; the order of the records decides, the same on every node.
#include "pepperbay/state/fold.hpp"

#include <iostream>

using namespace pepperbay;

int
main()
{
  State state;
  for (const char* author : { "anna", "ben" }) {
    proto::Record record = MakeRecord(author, 1, 1);
    proto::Publish& publish = *record.mutable_publish();
    publish.set_key("customers/school");
    publish.set_expected_version(0); // both made their change from "there is none yet"
    publish.mutable_document()->mutable_customer()->set_name("school");
    const FoldResult result = state.Apply(state.Next(), record.SerializeAsString());
    std::cout << author << ": " << ToString(result.mVerdict) << " " << result.mReason << "\n";
  }
  return state.Content().documents().at("customers/school").version() == 1 ? 0 : 1;
}
