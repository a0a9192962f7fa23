#include "pepperbay/tunnel/tunnel_server.hpp"

#include "carried_connection.hpp"
#include "pepperbay/tunnel/listener.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace pepperbay {

namespace asio = boost::asio;

namespace {

constexpr int kBacklog = 128;

class TunnelServerImpl
  : public TunnelServer
  , public CarriedOwner
{
public:
  TunnelServerImpl(asio::io_context& aContext,
                   TunnelServerOptions aOptions,
                   TunnelServerHooks aHooks,
                   TunnelCounters* aCounters)
    : mContext(aContext)
    , mOptions(std::move(aOptions))
    , mHooks(std::move(aHooks))
    , mListener(aContext,
                { [this](Socket aSocket) { Take(std::move(aSocket)); },
                  [this](const std::string& aDetail) {
                    mHooks.mLog("tunnel_accept_failed", { { "detail", aDetail } });
                  } })
    , mCounters(*aCounters)
  {
  }

  ~TunnelServerImpl() override { Close(); }
  TunnelServerImpl(const TunnelServerImpl&) = delete;
  TunnelServerImpl& operator=(const TunnelServerImpl&) = delete;

  Result<void> Listen()
  {
    auto listening = mListener.Open("tunnel.listen", mOptions.mAddress, kBacklog);
    if (listening.has_value()) {
      mListener.Start();
    }
    return listening;
  }

  void Tick() override
  {
    mListener.Tick();
    const std::vector<std::shared_ptr<CarriedConnection>> all(mAll.begin(), mAll.end());
    for (const auto& it : all) {
      it->Tick();
    }
  }

  void Close() override
  {
    mListener.Close();
    for (const auto& it : std::exchange(mAll, {})) {
      it->Close();
    }
  }

private:
  void Take(Socket aSocket)
  {
    boost::system::error_code ec;
    const std::string from = aSocket.remote_endpoint(ec).address().to_string();
    constexpr std::size_t kOfOneAddress = 8;
    const bool full = mWaiting >= mOptions.mMostWaiting ||
                      mWaitingFrom[from] >= mOptions.mMostWaiting / kOfOneAddress;
    if (ec || full) {
      ++mCounters.mForbidden;
      CloseNow(aSocket);
      return;
    }
    ++mWaiting;
    ++mWaitingFrom[from];
    const auto carried =
      std::make_shared<CarriedConnection>(mContext, this, std::move(aSocket), from);
    mAll.insert(carried);
    carried->Start();
  }

  // CarriedOwner
  const TunnelServerOptions& Options() const override { return mOptions; }
  const TunnelServerHooks& Hooks() const override { return mHooks; }
  TunnelCounters& Count() override { return mCounters; }

  void OnRequestRead(const std::string& aAddress) override
  {
    --mWaiting;
    const auto it = mWaitingFrom.find(aAddress);
    if (--it->second == 0) {
      mWaitingFrom.erase(it);
    }
  }

  bool TakeRoom(const std::string& aNode) override
  {
    const std::size_t nodes = mByNode.size() + (mByNode.count(aNode) == 0 ? 1 : 0);
    const std::size_t mostOfOne = mOptions.mMost / (nodes + 1);
    if (mCounters.mOpen >= mOptions.mMost || mByNode[aNode] >= mostOfOne) {
      if (mByNode[aNode] == 0) {
        mByNode.erase(aNode);
      }
      return false;
    }
    ++mByNode[aNode];
    ++mCounters.mOpen;
    return true;
  }

  void GiveRoom(const std::string& aNode) override
  {
    --mCounters.mOpen;
    const auto it = mByNode.find(aNode);
    if (--it->second == 0) {
      mByNode.erase(it);
    }
  }

  void OnOver(const std::shared_ptr<CarriedConnection>& aConnection) override
  {
    mAll.erase(aConnection);
  }

  asio::io_context& mContext;
  TunnelServerOptions mOptions;
  TunnelServerHooks mHooks;
  Listener mListener;
  TunnelCounters& mCounters;
  std::set<std::shared_ptr<CarriedConnection>> mAll;
  std::size_t mWaiting = 0;                        ///< whose request has not come whole
  std::map<std::string, std::size_t> mWaitingFrom; ///< by IP number
  std::map<std::string, std::size_t> mByNode;      ///< connections carried
};

} // namespace

std::size_t
MostCarried(std::size_t aDescriptors)
{
  constexpr std::size_t kOfEach = 2;
  constexpr std::size_t kPart = 4; // of all descriptors
  return std::min(kMostCarried, aDescriptors / (kOfEach * kPart));
}

Result<std::unique_ptr<TunnelServer>>
TunnelServer::Open(asio::io_context& aContext,
                   TunnelServerOptions aOptions,
                   TunnelServerHooks aHooks,
                   TunnelCounters* aCounters)
{
  auto server =
    std::make_unique<TunnelServerImpl>(aContext, std::move(aOptions), std::move(aHooks), aCounters);
  const auto listening = server->Listen();
  if (!listening.has_value()) {
    return listening.error();
  }
  return std::unique_ptr<TunnelServer>(std::move(server));
}

} // namespace pepperbay
